/** Starts another attempt beside one that is silent. */
import {timerDelay} from '../util/timer-delay.js';

/** Interval in ms at which a silent attempt looks again for another one: several times before a client leaves after two seconds. */
const LOOK_AGAIN_INTERVAL_MS = 250;

/** Another attempt that is ready. Exactly one of the methods is called. */
export type ReadyAttempt = {
	start(): void;
	discard(): void;
};

export type SilenceWatchOptions = {
	/** Time in ms without a new event or response after which another attempt is prepared. */
	readonly timeoutMs: number;
	/** Prepares another attempt. Resolves with undefined if none is possible now; never rejects. */
	prepareAnother(): Promise<ReadyAttempt | undefined>;
	/** Called with another attempt that is ready, and whether this one is still silent. Never throws. */
	onReady(another: ReadyAttempt, isSilent: boolean): void;
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

	/** Looks again for another attempt, after the one that was started has ended. */
	lookAgain(): void {
		if (this.#timer !== undefined) {
			this.#wait(LOOK_AGAIN_INTERVAL_MS);
		}
	}

	stop(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
	}

	#wait(ms: number): void {
		clearTimeout(this.#timer);
		this.#timer = setTimeout(() => {
			void this.#prepareAnother();
		}, timerDelay(ms));
	}

	/** Looks for another attempt, unless this one has gone on meanwhile, and looks again later if there is none. */
	async #prepareAnother(): Promise<void> {
		const timer = this.#timer;
		const another = await this.options.prepareAnother();
		const isSilent = timer !== undefined && this.#timer === timer;
		if (another) {
			this.options.onReady(another, isSilent);
		} else if (isSilent) {
			this.#wait(LOOK_AGAIN_INTERVAL_MS);
		}
	}
}
