/** Counts the calls to a store, which operators pay for, by kind of object, operation and result. */
import type {CallOptions} from '../object-api/object-api.js';
import type {
	CreateOutcome, KindEvents, KindList, KindStore, ReadOptions,
} from './kind-store.js';
import type {StorePosition} from './store-position.js';

export type StoreOperation = 'list' | 'stale_list' | 'watch' | 'create';

/** `idle`: a watch that ended without a change. `incomplete`: the answer began and did not arrive whole. */
export type StoreCallResult = 'changes' | 'idle' | 'incomplete' | Exclude<(CreateOutcome | KindEvents | KindList)['kind'], 'events'>;

export type CountStoreCall = (kind: string, operation: StoreOperation, result: StoreCallResult) => void;

export class CountedStore implements KindStore {
	static create(store: KindStore, count: CountStoreCall): CountedStore {
		return new CountedStore(store, count);
	}

	private constructor(private readonly store: KindStore, private readonly count: CountStoreCall) {}

	async list(kind: string, options: ReadOptions & {readonly isStaleAllowed?: boolean}): Promise<KindList> {
		const outcome = await this.store.list(kind, options);
		this.count(kind, options.isStaleAllowed ? 'stale_list' : 'list', resultOf(outcome));
		return outcome;
	}

	async watch(kind: string, position: StorePosition, waitMs: number, options: ReadOptions): Promise<KindEvents> {
		const outcome = await this.store.watch(kind, position, waitMs, options);
		this.count(kind, 'watch', outcome.kind === 'events' ? resultOfWatch(outcome.events.length) : resultOf(outcome));
		return outcome;
	}

	async create(kind: string, name: string, value: unknown, options: CallOptions): Promise<CreateOutcome> {
		const outcome = await this.store.create(kind, name, value, options);
		this.count(kind, 'create', resultOf(outcome));
		return outcome;
	}

	async close(): Promise<void> {
		await this.store.close();
	}
}

const resultOf = <Kind extends string>(outcome: {readonly kind: Kind; readonly isIncomplete?: boolean}): Kind | 'incomplete' =>
	outcome.isIncomplete ? 'incomplete' : outcome.kind;

const resultOfWatch = (events: number): StoreCallResult => events > 0 ? 'changes' : 'idle';
