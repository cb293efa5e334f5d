/** Clock of a run, in ms from its start. */
import {delay} from '../stand-ins/stand-in-server.js';

/** Clock that starts at 0 when a run starts. */
export class RunClock {
	static start(): RunClock {
		return new RunClock(performance.now());
	}

	private constructor(private readonly startedAt: number) {}

	/** Time since the start, in ms. */
	now(): number {
		return performance.now() - this.startedAt;
	}

	/** Waits until the clock reaches `atMs`. */
	async waitUntil(atMs: number): Promise<void> {
		await delay(atMs - this.now());
	}
}
