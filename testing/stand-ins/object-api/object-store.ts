/** In-memory store of versioned objects with conditional writes and watches. All objects share one version counter. */

export type Entry = {readonly key: string; readonly version: number; readonly value: unknown};

/** Result of a conditional write. `version` is the new version, or for a conflict the current one (0: absent). */
export type WriteResult = {readonly kind: 'written' | 'conflict'; readonly version: number};

export class ObjectStore {
	static create(): ObjectStore {
		return new ObjectStore();
	}

	readonly #entries = new Map<string, Entry>();
	readonly #watchers = new Map<string, Set<() => void>>();
	#lastVersion = 0;

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	get(key: string): Entry | undefined {
		return this.#entries.get(key);
	}

	/** Objects whose key starts with `prefix`, sorted by key. */
	list(prefix: string): readonly Entry[] {
		const found = [...this.#entries.values()].filter(entry => entry.key.startsWith(prefix));
		return found.toSorted((a, b) => (a.key < b.key ? -1 : 1));
	}

	/** Writes the object, or deletes it when `value` is undefined, if its version is `expected` (0: absent). */
	write(key: string, expected: number, value: unknown): WriteResult {
		const currentVersion = this.#entries.get(key)?.version ?? 0;
		if (currentVersion !== expected) {
			return {kind: 'conflict', version: currentVersion};
		}

		const version = ++this.#lastVersion;
		if (value === undefined) {
			this.#entries.delete(key);
		} else {
			this.#entries.set(key, {key, version, value});
		}

		for (const notify of this.#watchers.get(key) ?? []) {
			notify();
		}

		return {kind: 'written', version};
	}

	/** Waits until the object has a version above `after`; resolves with undefined after `waitMs` or when `signal` aborts. */
	async watch(key: string, after: number, waitMs: number, signal: AbortSignal): Promise<Entry | undefined> {
		const findNewer = (): Entry | undefined => {
			const entry = this.#entries.get(key);
			return entry && entry.version > after ? entry : undefined;
		};

		const found = findNewer();
		if (found ?? signal.aborted) {
			return found;
		}

		return new Promise(resolve => {
			const watchers = this.#watchers.get(key) ?? new Set();
			this.#watchers.set(key, watchers);
			const finish = (entry: Entry | undefined): void => {
				clearTimeout(timer);
				watchers.delete(notify);
				resolve(entry);
			};

			const notify = (): void => {
				const entry = findNewer();
				if (entry) {
					finish(entry);
				}
			};

			const timer = setTimeout(finish, waitMs, undefined);
			watchers.add(notify);
			signal.addEventListener('abort', () => {
				finish(undefined);
			});
		});
	}
}
