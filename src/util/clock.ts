/**
 * Time sources. Functions that decide take the present time as an argument; only wiring code reads a clock.
 */

/** Milliseconds on the monotonic clock of this process. Not comparable between processes. */
export const monotonicMs = (): number => performance.now();

/** Milliseconds since the Unix epoch. Used only where a wall-clock time is part of a protocol. */
export const wallClockMs = (): number => Date.now();

/** A source of monotonic milliseconds, passed to wiring code so that tests can substitute it. */
export type Clock = () => number;
