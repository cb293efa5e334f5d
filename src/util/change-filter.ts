/** Lets a value through once for each key until it changes, so that a state that is found at each read is logged once. */

/** Keys that are remembered. Beyond them all are forgotten, and their values may pass once more. */
const MAX_KEYS = 1000;

export class ChangeFilter {
	static create(): ChangeFilter {
		return new ChangeFilter();
	}

	readonly #values = new Map<string, string>();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Records the value of `key`. Returns whether it differs from the one before. */
	isChanged(key: string, value: string): boolean {
		if (this.#values.get(key) === value) {
			return false;
		}

		if (this.#values.size >= MAX_KEYS) {
			this.#values.clear();
		}

		this.#values.set(key, value);
		return true;
	}
}
