/** Follows members, pool leases and backend servers of one region by listing them. */
import type {ConfigurationSource} from '../configuration/configuration-source.js';
import type {Host, HostList} from '../object-api/host-list.js';
import type {ObjectApi, StoredObject} from '../object-api/object-api.js';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import {chooseNode} from '../util/rendezvous.js';
import {
	type Directory, type Member, memberSchema, type PoolLease, poolLeaseSchema,
} from './directory.js';
import type {HostListSource} from './host-list-source.js';
import {type IncarnationState, MemberView} from './member-view.js';
import {groupByPool} from './pool-shards.js';

const REFRESH_INTERVAL_MS = 3000;

/** Least time between two refreshes that were asked for. */
const MIN_REFRESH_INTERVAL_MS = 250;

const CALL_TIMEOUT_MS = 2000;

/** A pool lease with the version under which it is stored and the time at which that version was first seen. */
export type SeenLease = {
	readonly lease: PoolLease;
	readonly version: number;
	/** Monotonic ms of this daemon at which an answer first showed this version. */
	readonly firstSeenMs: number;
};

export type RegionDirectoryOptions = {
	/** This daemon's registration; read at each use, since `draining` changes. */
	readonly self: () => Member;
	readonly objects: ObjectApi;
	readonly hostList: HostListSource;
	readonly configuration: ConfigurationSource;
	readonly clock: Clock;
	readonly logger: Logger;
};

/** Keeps what it last saw when the platform does not answer. */
export class RegionDirectory implements Directory {
	static create(options: RegionDirectoryOptions): RegionDirectory {
		return new RegionDirectory(options);
	}

	readonly #view: MemberView;
	readonly #leases = new Map<string, SeenLease>();
	readonly #listedDomains = new Set<string>();
	readonly #listeners = new Set<() => void>();
	#hostList: HostList | undefined;
	#pools: ReadonlyMap<string, readonly Host[]> = new Map();
	#timer: NodeJS.Timeout | undefined;
	#refreshing: Promise<void> | undefined;
	#refreshedAtMs = -Infinity;
	#closed = false;
	readonly #unsubscribe: () => void;

	private constructor(private readonly options: RegionDirectoryOptions) {
		this.#view = new MemberView(options.self().id);
		this.#unsubscribe = options.configuration.onChange(() => {
			this.#regroup();
			this.refresh();
		});
	}

	get self(): Member {
		return this.options.self();
	}

	/** Lists everything once and keeps listing every 3 s. Resolves after the first attempt. */
	async start(): Promise<void> {
		await this.#run();
	}

	members(): readonly Member[] {
		const others = this.#view.members().filter(member => member.id !== this.self.id);
		return [...others, this.self];
	}

	poolLease(pool: string): PoolLease | undefined {
		return this.#leases.get(pool)?.lease;
	}

	/** Last seen lease of a pool with its version and age. */
	seenLease(pool: string): SeenLease | undefined {
		return this.#leases.get(pool);
	}

	/** Takes over a lease that this daemon read or wrote itself, unless a later version is known. */
	noteLease(pool: string, lease: PoolLease, version: number, now: number): void {
		const known = this.#leases.get(pool);
		if (!known || known.version < version) {
			this.#leases.set(pool, {lease, version, firstSeenMs: now});
		}
	}

	hosts(pool: string): readonly Host[] {
		return this.#pools.get(pool) ?? [];
	}

	/** Monotonic ms at which members were last listed, or undefined before the first listing. */
	get membersListedAtMs(): number | undefined {
		return this.#view.listedAtMs;
	}

	/** Whether pool leases of a failure domain were listed at least once, so that an unseen lease is known to be absent. */
	leasesKnown(failureDomain: string): boolean {
		return this.#listedDomains.has(failureDomain);
	}

	/** Whether the host list was fetched at least once. */
	get hostsKnown(): boolean {
		return this.#hostList !== undefined;
	}

	/** Says what became of an incarnation of a daemon of the region. */
	incarnationState(id: string, incarnation: string): IncarnationState {
		return this.#view.incarnationState(id, incarnation);
	}

	/** Calls `listener` after each refresh. Returns a function that unsubscribes. */
	onRefresh(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	refresh(): void {
		if (this.#closed || this.#refreshing) {
			return;
		}

		const waitMs = Math.max(0, this.#refreshedAtMs + MIN_REFRESH_INTERVAL_MS - this.options.clock());
		this.#schedule(waitMs);
	}

	async close(): Promise<void> {
		this.#closed = true;
		this.#unsubscribe();
		clearTimeout(this.#timer);
		await this.#refreshing;
	}

	#schedule(delayMs: number): void {
		clearTimeout(this.#timer);
		this.#timer = setTimeout(() => {
			void this.#run();
		}, delayMs);
	}

	async #run(): Promise<void> {
		this.#refreshing ??= this.#refreshAll();
		await this.#refreshing;
	}

	async #refreshAll(): Promise<void> {
		await Promise.all([this.#listMembers(), this.#listLeases(), this.#fetchHosts()]);
		this.#refreshedAtMs = this.options.clock();
		this.#refreshing = undefined;
		if (this.#closed) {
			return;
		}

		this.#schedule(REFRESH_INTERVAL_MS);
		for (const listener of this.#listeners) {
			listener();
		}
	}

	async #listMembers(): Promise<void> {
		const objects = await this.#list(`members/${this.self.region}/`);
		if (objects) {
			this.#view.applyListing(objects, this.options.clock());
			await this.#removeEnded(objects);
		}
	}

	/**
	 * Removes registrations of daemons that ended without doing so, for example with their hosts; otherwise they would
	 * stay in every listing. One daemon is chosen for each; the condition keeps a registration that was renewed meanwhile.
	 */
	async #removeEnded(objects: readonly StoredObject[]): Promise<void> {
		const members = this.members().map(member => member.id);
		for (const {key, version, value} of objects) {
			const parsed = memberSchema.safeParse(value);
			if (parsed.success && this.#view.isRemovable(parsed.data.id) && chooseNode(key, members) === this.self.id) {
				const outcome = await this.options.objects.remove(key, version, {timeoutMs: CALL_TIMEOUT_MS});
				this.options.logger.info('member_removed', {key, outcome: outcome.kind});
			}
		}
	}

	async #listLeases(): Promise<void> {
		const domains = this.options.configuration.current()?.configuration.failureDomains ?? [];
		const names = domains.filter(domain => domain.region === this.self.region).map(domain => domain.name);
		await Promise.all(names.map(async name => this.#listLeasesOf(name)));
	}

	async #listLeasesOf(failureDomain: string): Promise<void> {
		const objects = await this.#list(`pools/${failureDomain}/`);
		if (!objects) {
			return;
		}

		this.#listedDomains.add(failureDomain);
		const now = this.options.clock();
		for (const object of objects) {
			const parsed = poolLeaseSchema.safeParse(object.value);
			if (parsed.success) {
				this.noteLease(parsed.data.pool, parsed.data, object.version, now);
			}
		}
	}

	async #list(prefix: string): Promise<readonly StoredObject[] | undefined> {
		const outcome = await this.options.objects.list(prefix, {timeoutMs: CALL_TIMEOUT_MS});
		if (outcome.kind === 'listed') {
			return outcome.objects;
		}

		this.options.logger.debug('list_failed', {prefix, message: outcome.message});
		return undefined;
	}

	async #fetchHosts(): Promise<void> {
		const outcome = await this.options.hostList.fetchHosts({timeoutMs: CALL_TIMEOUT_MS});
		if (outcome.kind === 'unavailable') {
			this.options.logger.debug('host_list_failed', {message: outcome.message});
			return;
		}

		// A lagging replica of the host list must not bring back hosts that have left.
		if (outcome.list.version >= (this.#hostList?.version ?? 0)) {
			this.#hostList = outcome.list;
			this.#regroup();
		}
	}

	#regroup(): void {
		const configuration = this.options.configuration.current()?.configuration;
		if (configuration && this.#hostList) {
			this.#pools = groupByPool(this.#hostList.hosts, configuration);
		}
	}
}
