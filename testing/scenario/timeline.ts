/** Times of a run in ms from its start. */
import {delay} from '../stand-ins/stand-in-server.js';

/** The clock of one run. */
export class Timeline {
	static start(): Timeline {
		return new Timeline(performance.now());
	}

	private constructor(private readonly startedAt: number) {}

	/** Present time in ms from the start. */
	now(): number {
		return performance.now() - this.startedAt;
	}

	/** Waits until `atMs`. */
	async until(atMs: number): Promise<void> {
		await delay(atMs - this.now());
	}
}
