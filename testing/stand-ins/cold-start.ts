/** Cold start of a simulated backend server: it starts cold and is warm some time after it first accepted a request. */
import {randomUUID} from 'node:crypto';

export type ColdStartOptions = {
	/** Time in ms from the first accepted request until the backend server is warm. */
	readonly warmAfterMs: number;
	/** Whether the first boot is warm at once; later boots are cold. */
	readonly startsWarm: boolean;
};

/** Temperature and boot identity of one backend server. */
export class ColdStart {
	static create(options: ColdStartOptions): ColdStart {
		return new ColdStart(options);
	}

	readonly #warmAfterMs: number;
	#boot = randomUUID();
	#warmAt: number | undefined;
	#period = 0;

	private constructor(options: ColdStartOptions) {
		this.#warmAfterMs = options.warmAfterMs;
		this.#warmAt = options.startsWarm ? 0 : undefined;
	}

	/** Identity of the present boot. */
	get boot(): string {
		return this.#boot;
	}

	/** Number of the present cold period. Only requests accepted in this period count against the cold limit. */
	get period(): number {
		return this.#period;
	}

	isWarm(now: number): boolean {
		return this.#warmAt !== undefined && now >= this.#warmAt;
	}

	/** Records that a request was accepted. */
	serve(now: number): void {
		this.#warmAt ??= now + this.#warmAfterMs;
	}

	/** Becomes cold under the same boot identity. */
	turnCold(): void {
		this.#warmAt = undefined;
		this.#period++;
	}

	/** Becomes cold under a new boot identity. */
	reboot(): void {
		this.turnCold();
		this.#boot = randomUUID();
	}
}
