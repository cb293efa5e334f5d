/**
 * Time sources. Decision logic takes the current time as an argument; only wiring code reads a clock.
 */

/** Monotonic time of this process in ms. Not comparable between processes. */
export const monotonicMs = (): number => performance.now();

/** Unix time in ms. Used only where wall-clock time is part of a protocol. */
export const wallClockMs = (): number => Date.now();

/** Source of monotonic time in ms, passed to wiring code so that tests can replace it. */
export type Clock = () => number;
