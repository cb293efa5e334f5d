/** Versioned objects with conditional writes and watches, in memory. Versions come from one counter. */

export type Entry = {readonly key: string; readonly version: number; readonly value: unknown};

/** Condition of a write: the version that the object must have, 0 when it must be absent. */
export type WriteResult = {readonly kind: 'written' | 'conflict'; readonly version: number};

export class ObjectStore {
	static create(): ObjectStore {
		return new ObjectStore();
	}

	readonly #entries = new Map<string, Entry>();
	readonly #watchers = new Map<string, Set<() => void>>();
	#counter = 0;

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	get(key: string): Entry | undefined {
		return this.#entries.get(key);
	}

	/** Objects whose key starts with `prefix`, in order of their keys. */
	list(prefix: string): readonly Entry[] {
		const found = [...this.#entries.values()].filter(entry => entry.key.startsWith(prefix));
		return found.toSorted((a, b) => (a.key < b.key ? -1 : 1));
	}

	/** Writes, or deletes when `value` is undefined, if the object has `expected` as its version (0: absent). */
	write(key: string, expected: number, value: unknown): WriteResult {
		const present = this.#entries.get(key)?.version ?? 0;
		if (present !== expected) {
			return {kind: 'conflict', version: present};
		}

		const version = ++this.#counter;
		if (value === undefined) {
			this.#entries.delete(key);
		} else {
			this.#entries.set(key, {key, version, value});
		}

		for (const wake of this.#watchers.get(key) ?? []) {
			wake();
		}

		return {kind: 'written', version};
	}

	/** Waits until the object has a version above `after`; undefined after `waitMs` or when `signal` aborts. */
	async watch(key: string, after: number, waitMs: number, signal: AbortSignal): Promise<Entry | undefined> {
		const newer = (): Entry | undefined => {
			const entry = this.#entries.get(key);
			return entry && entry.version > after ? entry : undefined;
		};

		const found = newer();
		if (found ?? signal.aborted) {
			return found;
		}

		return new Promise(resolve => {
			const watchers = this.#watchers.get(key) ?? new Set();
			this.#watchers.set(key, watchers);
			const finish = (entry: Entry | undefined): void => {
				clearTimeout(timer);
				watchers.delete(wake);
				resolve(entry);
			};

			const wake = (): void => {
				const entry = newer();
				if (entry) {
					finish(entry);
				}
			};

			const timer = setTimeout(finish, waitMs, undefined);
			watchers.add(wake);
			signal.addEventListener('abort', () => {
				finish(undefined);
			});
		});
	}
}
