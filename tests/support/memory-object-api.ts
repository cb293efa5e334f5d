import type {
	ListOutcome, ObjectApi, ReadOutcome, StoredObject, WatchOutcome, WriteCondition, WriteOutcome,
} from '../../src/platform/object-api.js';

/** How the next calls behave: `down` refuses, `lost` applies writes and loses the answer. */
export type Fault = 'none' | 'down' | 'lost';

/** Objects in memory. Each client of it has its own fault, so that one daemon can be partitioned from it. */
export class MemoryObjects {
	readonly objects = new Map<string, StoredObject>();
	#version = 0;

	client(): ObjectApi & {fault: Fault} {
		const {objects} = this;
		const versionOf = (key: string): number => objects.get(key)?.version ?? 0;
		const commit = (key: string, value: unknown): number => {
			this.#version++;
			objects.set(key, {key, version: this.#version, value: structuredClone(value)});
			return this.#version;
		};

		return {
			fault: 'none',
			async read(key: string): Promise<ReadOutcome> {
				const object = objects.get(key);
				if (this.fault === 'down') {
					return {kind: 'unavailable', message: 'down'};
				}

				return object ? {kind: 'found', object} : {kind: 'absent'};
			},
			async list(prefix: string): Promise<ListOutcome> {
				return this.fault === 'down'
					? {kind: 'unavailable', message: 'down'}
					: {kind: 'listed', objects: [...objects.values()].filter(object => object.key.startsWith(prefix))};
			},
			async write(key: string, value: unknown, condition: WriteCondition): Promise<WriteOutcome> {
				const expected = condition.kind === 'absent' ? 0 : condition.version;
				if (this.fault === 'down') {
					return {kind: 'rejected', message: 'down'};
				}

				if (versionOf(key) !== expected) {
					return {kind: 'conflict', version: versionOf(key)};
				}

				const version = commit(key, value);
				return this.fault === 'lost' ? {kind: 'unknown', message: 'answer lost'} : {kind: 'written', version};
			},
			async remove(key: string): Promise<WriteOutcome> {
				if (this.fault === 'down') {
					return {kind: 'rejected', message: 'down'};
				}

				objects.delete(key);
				return {kind: 'written', version: 0};
			},
			async watch(): Promise<WatchOutcome> {
				return {kind: 'unchanged'};
			},
			async close(): Promise<void> {
				// Nothing to close.
			},
		};
	}
}
