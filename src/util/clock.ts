/**
 * Time sources. Decision logic takes the current time as an argument; only wiring code reads a clock.
 */
import process from 'node:process';

/** Monotonic time of this process in ms. Not comparable between processes. */
export const monotonicMs = (): number => performance.now();

/** Unix time in ms. Used only where wall-clock time is part of a protocol. */
export const wallClockMs = (): number => Date.now();

const MICROSECONDS_PER_MS = 1000;

/** Processor time in ms that this process has used since its start. */
export function processorMs(): number {
	const {user, system} = process.cpuUsage();
	return (user + system) / MICROSECONDS_PER_MS;
}

/** Source of monotonic time in ms, passed to wiring code so that tests can replace it. */
export type Clock = () => number;
