/**
 * Finds turns of the event loop that kept everything else waiting, from the delays of a timer. The processor time that the process
 * used meanwhile tells a long computation from a process or host that was paused.
 */

/** Delay in ms that is logged: a noticeable part of the shortest deadlines of callers, which are about a second. */
const LONG_DELAY_MS = 250;

/** `cpuMs`: processor time in ms that the process had used since its start. */
export type Tick = {readonly at: number; readonly cpuMs: number};

/** A tick that came late. `cpuMs`: processor time used since the tick before. */
export type TickDelay = {readonly delayMs: number; readonly cpuMs: number; readonly isLong: boolean};

export class TurnMonitor {
	/** `intervalMs` is the interval of the timer in ms. */
	static create(intervalMs: number, first: Tick): TurnMonitor {
		return new TurnMonitor(intervalMs, first);
	}

	#last: Tick;

	private constructor(private readonly intervalMs: number, first: Tick) {
		this.#last = first;
	}

	record(tick: Tick): TickDelay {
		const delayMs = Math.max(0, tick.at - this.#last.at - this.intervalMs);
		const cpuMs = tick.cpuMs - this.#last.cpuMs;
		this.#last = tick;
		return {delayMs, cpuMs, isLong: delayMs >= LONG_DELAY_MS};
	}
}
