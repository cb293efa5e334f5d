/** Directory of the members, pool leases and backend servers of one region, refreshed by periodic listings. */
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

/** Minimum time in ms between a refresh and the next one on request. */
const MIN_REFRESH_INTERVAL_MS = 250;

const CALL_TIMEOUT_MS = 2000;

/** A pool lease with its stored version and the time at which that version was first observed. */
export type ObservedLease = {
	readonly lease: PoolLease;
	readonly version: number;
	/** Monotonic time of this daemon in ms at which an answer first contained this version. */
	readonly firstSeenMs: number;
};

export type RegionDirectoryOptions = {
	/** Returns this daemon's registration; called at each use, since `draining` changes. */
	readonly self: () => Member;
	readonly objects: ObjectApi;
	readonly hostList: HostListSource;
	readonly configuration: ConfigurationSource;
	readonly clock: Clock;
	readonly logger: Logger;
};

/** Keeps the last listings while the platform does not answer. */
export class RegionDirectory implements Directory {
	static create(options: RegionDirectoryOptions): RegionDirectory {
		return new RegionDirectory(options);
	}

	readonly #memberView: MemberView;
	readonly #leases = new Map<string, ObservedLease>();
	readonly #domainsWithListedLeases = new Set<string>();
	readonly #listeners = new Set<() => void>();
	#hostList: HostList | undefined;
	#pools: ReadonlyMap<string, readonly Host[]> = new Map();
	#timer: NodeJS.Timeout | undefined;
	#pendingRefresh: Promise<void> | undefined;
	#refreshedAtMs = -Infinity;
	#isClosed = false;
	readonly #unsubscribe: () => void;

	private constructor(private readonly options: RegionDirectoryOptions) {
		this.#memberView = new MemberView(options.self().id);
		this.#unsubscribe = options.configuration.onChange(() => {
			this.#regroupHosts();
			this.refresh();
		});
	}

	get self(): Member {
		return this.options.self();
	}

	/** Lists everything immediately and then every 3 s. Resolves after the first attempt. */
	async start(): Promise<void> {
		await this.#refreshOnce();
	}

	members(): readonly Member[] {
		const others = this.#memberView.members().filter(member => member.id !== this.self.id);
		return [...others, this.self];
	}

	poolLease(pool: string): PoolLease | undefined {
		return this.#leases.get(pool)?.lease;
	}

	/** The latest known lease of a pool, with its version and the time at which that version was first observed. */
	observedLease(pool: string): ObservedLease | undefined {
		return this.#leases.get(pool);
	}

	/** Records a lease that this daemon has read or written, unless the same or a later version is known. */
	recordLease(pool: string, lease: PoolLease, version: number, now: number): void {
		const known = this.#leases.get(pool);
		if (!known || known.version < version) {
			this.#leases.set(pool, {lease, version, firstSeenMs: now});
		}
	}

	hosts(pool: string): readonly Host[] {
		return this.#pools.get(pool) ?? [];
	}

	/** Monotonic time in ms of the last listing of members, or undefined before the first one. */
	get membersListedAtMs(): number | undefined {
		return this.#memberView.listedAtMs;
	}

	/**
	 * Whether the pool leases of a failure domain have been listed at least once. Before that, an unknown lease may still
	 * exist.
	 */
	leasesKnown(failureDomain: string): boolean {
		return this.#domainsWithListedLeases.has(failureDomain);
	}

	/** Whether the host list has been fetched at least once. */
	get hostsKnown(): boolean {
		return this.#hostList !== undefined;
	}

	/** Returns the state of an incarnation of a daemon of the region. */
	incarnationState(id: string, incarnation: string): IncarnationState {
		return this.#memberView.incarnationState(id, incarnation);
	}

	/** Calls `listener` after each refresh. Returns a function that unsubscribes. */
	onRefresh(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	refresh(): void {
		if (this.#isClosed || this.#pendingRefresh) {
			return;
		}

		const waitMs = Math.max(0, this.#refreshedAtMs + MIN_REFRESH_INTERVAL_MS - this.options.clock());
		this.#schedule(waitMs);
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		this.#unsubscribe();
		clearTimeout(this.#timer);
		await this.#pendingRefresh;
	}

	#schedule(delayMs: number): void {
		clearTimeout(this.#timer);
		this.#timer = setTimeout(() => {
			void this.#refreshOnce();
		}, delayMs);
	}

	async #refreshOnce(): Promise<void> {
		this.#pendingRefresh ??= this.#refreshAll();
		await this.#pendingRefresh;
	}

	async #refreshAll(): Promise<void> {
		await Promise.all([this.#listMembers(), this.#listLeases(), this.#fetchHosts()]);
		this.#refreshedAtMs = this.options.clock();
		this.#pendingRefresh = undefined;
		if (this.#isClosed) {
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
			this.#memberView.applyListing(objects, this.options.clock());
			await this.#removeStaleRegistrations(objects);
		}
	}

	/**
	 * Removes registrations that daemons left behind, for example when their hosts failed; otherwise every later listing
	 * would contain them. One daemon is responsible for each registration. The removal is conditional on the version, so a
	 * registration that has been renewed in the meantime stays.
	 */
	async #removeStaleRegistrations(objects: readonly StoredObject[]): Promise<void> {
		const members = this.members().map(member => member.id);
		for (const {key, version, value} of objects) {
			const parsed = memberSchema.safeParse(value);
			if (parsed.success && this.#memberView.isRemovable(parsed.data.id) && chooseNode(key, members) === this.self.id) {
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

		this.#domainsWithListedLeases.add(failureDomain);
		const now = this.options.clock();
		for (const object of objects) {
			const parsed = poolLeaseSchema.safeParse(object.value);
			if (parsed.success) {
				this.recordLease(parsed.data.pool, parsed.data, object.version, now);
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

		// An older version, from a lagging replica, must not bring back hosts that have left.
		if (outcome.list.version >= (this.#hostList?.version ?? 0)) {
			this.#hostList = outcome.list;
			this.#regroupHosts();
		}
	}

	#regroupHosts(): void {
		const configuration = this.options.configuration.current()?.configuration;
		if (configuration && this.#hostList) {
			this.#pools = groupByPool(this.#hostList.hosts, configuration);
		}
	}
}
