/** Cold start of a simulated backend server, which becomes warm a fixed time after it accepts its first request. */
import {randomUUID} from 'node:crypto';

export type ColdStartOptions = {
	/** Time in ms from the first accepted request until the backend server is warm. */
	readonly warmAfterMs: number;
	/** Whether the first boot is warm from the start; later boots start cold. */
	readonly startsWarm: boolean;
};

/** Boot id of one backend server, and whether it is warm. */
export class ColdStart {
	static create(options: ColdStartOptions): ColdStart {
		return new ColdStart(options);
	}

	readonly #warmAfterMs: number;
	#boot = randomUUID();
	#warmAt: number | undefined;
	#coldPeriod = 0;

	private constructor(options: ColdStartOptions) {
		this.#warmAfterMs = options.warmAfterMs;
		this.#warmAt = options.startsWarm ? 0 : undefined;
	}

	/** Id of the current boot. */
	get boot(): string {
		return this.#boot;
	}

	/** Number of the current cold period. Only requests accepted in this period count towards the cold limit. */
	get coldPeriod(): number {
		return this.#coldPeriod;
	}

	isWarm(now: number): boolean {
		return this.#warmAt !== undefined && now >= this.#warmAt;
	}

	/** Records that a request was accepted. */
	recordAccepted(now: number): void {
		this.#warmAt ??= now + this.#warmAfterMs;
	}

	/** Becomes cold and keeps the boot id. */
	turnCold(): void {
		this.#warmAt = undefined;
		this.#coldPeriod++;
	}

	/** Becomes cold with a new boot id. */
	reboot(): void {
		this.turnCold();
		this.#boot = randomUUID();
	}
}
