/** Gives a silent attempt up as soon as another one is ready to take over from it. */
import {timerDelay} from '../util/timer-delay.js';

/** Interval in ms at which a silent attempt looks again for another one: several times before a client leaves after two seconds. */
const HAND_OVER_INTERVAL_MS = 250;

/** Another attempt that is ready. Exactly one of the methods is called. */
export type HandOver = {
	/** Makes it the next attempt of the request. The current one ends. */
	accept(): void;
	discard(): void;
};

export type SilenceWatchOptions = {
	/** Time in ms without a new event or response after which another attempt is prepared. */
	readonly timeoutMs: number;
	/** Prepares another attempt. Resolves with undefined if none is possible now; never rejects. */
	prepareHandOver(): Promise<HandOver | undefined>;
	/** Called with another attempt that is ready, and whether this one is still silent. Never throws. */
	onReady(handOver: HandOver, isSilent: boolean): void;
};

export class SilenceWatch {
	static create(options: SilenceWatchOptions): SilenceWatch {
		return new SilenceWatch(options);
	}

	/** Undefined while the watch is stopped. */
	#timer: NodeJS.Timeout | undefined;

	private constructor(private readonly options: SilenceWatchOptions) {}

	/** Records a sign of progress. */
	restart(): void {
		this.#wait(this.options.timeoutMs);
	}

	stop(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
	}

	#wait(ms: number): void {
		clearTimeout(this.#timer);
		this.#timer = setTimeout(() => {
			void this.#handOver();
		}, timerDelay(ms));
	}

	/** Looks for another attempt, unless this one has gone on meanwhile, and looks again later if there is none. */
	async #handOver(): Promise<void> {
		const timer = this.#timer;
		const handOver = await this.options.prepareHandOver();
		const isSilent = timer !== undefined && this.#timer === timer;
		if (handOver) {
			this.options.onReady(handOver, isSilent);
		} else if (isSilent) {
			this.#wait(HAND_OVER_INTERVAL_MS);
		}
	}
}
