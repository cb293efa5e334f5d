/**
 * Backend servers that may be used, according to their registrations and the failure domains taken out of service.
 *
 * Registrations may be older than what this daemon knows: see server-record.ts.
 */
import {ExpiringSet} from '../util/expiring-set.js';
import type {BackendServer} from './backend-server.js';
import {DomainsOut} from './domains-out.js';
import {
	acceptDoubt, copiedEntry, MAX_WRITE_DELAY_MS, mergeEntry, settleRecord, writtenEntry, type Contradiction, type EndedStart, type ServerEntry, type ServerRecord,
} from './server-record.js';

/**
 * Time in ms for which a registration found missing after a store outage is kept: servers whose registration expired
 * during the outage register again within about two seconds.
 */
const REREGISTRATION_MS = 2300;

/** Time in ms for which a leaving server is remembered. It stops within many seconds. */
export const LEAVING_MS = 600_000;
/** Time in ms for which this daemon remembers that a start of a server has ended. Late writes and copies are some seconds old. */
const ENDED_MS = 60_000;
/** Bound on the number of starts of servers whose service is remembered; several times the number of servers of the largest fleet. */
const MAX_KNOWN_SERVICES = 8000;
/** Servers that are back in the store after the removal of their entries, within the longest delay of a write, by which the store is found to be late. */
const MIN_RETURNS = 2;

type RegisteredServer = {
	readonly record: ServerRecord;
	/** Time at which the server is removed, if its registration was found missing after a store outage. */
	readonly expiresAt: number | undefined;
};

/** What a registration has changed. */
export type Registration = {
	/** What was in force before, and what is now. */
	readonly previous: BackendServer | undefined;
	readonly current: BackendServer | undefined;
	readonly contradicts: Contradiction | undefined;
};

/** `lost`: does not answer at its address; `doubtful`: its registration may be a late write. */
export type UnusableReason = 'draining' | 'domain_out' | 'lost' | 'doubtful';

export class FleetView {
	/**
	 * `confirmationMs` is the time in ms after which a server that the store still contains is alive, since the store removes those
	 * that do not renew their registration.
	 */
	static create(confirmationMs: number): FleetView {
		return new FleetView(confirmationMs);
	}

	readonly domainsOut = DomainsOut.create();
	readonly #servers = new Map<string, RegisteredServer>();
	/** Ids of servers that do not answer at their registered address. */
	readonly #lost = ExpiringSet.create();
	/** Ids of servers that said that they leave. It holds until they have started anew, whatever their registration says. */
	readonly #leaving = ExpiringSet.create();
	/** The latest start of a server that has ended, by name, in the order of their ends. */
	readonly #ended = new Map<string, EndedStart>();
	/** Times at which servers were back in the store after the removal of their entries, by name. */
	readonly #returnTimes = new Map<string, number>();
	/** Services by id of a server, in the order of their last registrations. */
	readonly #services = new Map<string, string>();
	#outageEndedAt = -Infinity;

	private constructor(private readonly confirmationMs: number) {}

	/** Applies a registration under its name, with the revision of its last change. */
	register(name: string, server: BackendServer, revision: number, now: number): Registration {
		return this.#merge(name, writtenEntry(server, revision, now), now);
	}

	/** Applies a registration that was listed in a store that has come back from an older copy. */
	registerCopied(name: string, server: BackendServer, revision: number, now: number): Registration {
		return this.#merge(name, copiedEntry(server, revision, now), now);
	}

	/** Handles the removal of a registration. */
	unregister(name: string, now: number): void {
		const known = this.#servers.get(name);
		if (!known) {
			return;
		}

		if (now < this.#outageEndedAt + REREGISTRATION_MS) {
			this.#servers.set(name, {...known, expiresAt: known.expiresAt ?? this.#outageEndedAt + REREGISTRATION_MS});
		} else {
			this.#remove(name, known, now);
		}
	}

	/** Removes all registrations that are absent from a complete list. */
	retain(names: ReadonlySet<string>, now: number): void {
		for (const name of this.#servers.keys()) {
			if (!names.has(name)) {
				this.unregister(name, now);
			}
		}
	}

	/** Records that the store could not be read until `now`. */
	recordOutage(now: number): void {
		this.#outageEndedAt = now;
	}

	/**
	 * Records that a server does not answer at its registered address although its registration has not expired yet. Returns
	 * whether this was not known. The id changes with each start, so a restarted server is not affected.
	 */
	markLost(id: string, until: number, now: number): boolean {
		return this.#lost.add(id, until, now);
	}

	/** Records that a server said in a response that it leaves. Returns whether this was not known. */
	markLeaving(id: string, now: number): boolean {
		return this.#leaving.add(id, now + LEAVING_MS, now);
	}

	/** Servers of a service that may receive new requests. Lost ones are returned only if there are no others. */
	usableServers(service: string, now: number): readonly BackendServer[] {
		const servers = this.servingServers(now, service);
		const available = servers.filter(({id}) => !this.#lost.has(id, now));
		return available.length > 0 ? available : servers;
	}

	/**
	 * Registered servers, of one service or of all, that are neither leaving nor in a failure domain out of service. Those that are back in
	 * the store, maybe by a late write, are returned only for services without others.
	 */
	servingServers(now: number, service?: string): readonly BackendServer[] {
		const servers: BackendServer[] = [];
		const doubtful: BackendServer[] = [];
		for (const name of this.#servers.keys()) {
			const record = this.#settle(name, now);
			const server = record?.server ?? renewedServer(record);
			if (server && (service === undefined || server.service === service) && !server.isDraining && !this.#leaving.has(server.id, now) && !this.domainsOut.has(server.failureDomain, now)) {
				(record?.server ? servers : doubtful).push(server);
			}
		}

		return doubtful.length === 0 ? servers : [...servers, ...doubtful.filter(server => !servers.some(other => other.service === server.service))];
	}

	/** All registered servers of a service, and why one may get no new request; undefined if it may. */
	describeServers(service: string, now: number): ReadonlyArray<{readonly server: BackendServer; readonly unusable: UnusableReason | undefined}> {
		const usable = new Set(this.usableServers(service, now));
		return [...this.#servers.values()]
			.flatMap(({record}) => record.server ?? record.doubt?.server ?? [])
			.filter(server => server.service === service)
			.map(server => ({server, unusable: usable.has(server) ? undefined : this.#unusableReason(server, now)}));
	}

	/** The service of a server, also after its end. */
	serviceOf(id: string): string | undefined {
		return this.#services.get(id);
	}

	/** Ids of all registered servers. */
	serverIds(): ReadonlySet<string> {
		return new Set([...this.#servers.values()].flatMap(({record}) => serversOf(record)).map(({id}) => id));
	}

	#unusableReason(server: BackendServer, now: number): UnusableReason {
		if (server.isDraining || this.#leaving.has(server.id, now)) {
			return 'draining';
		}

		if (this.domainsOut.has(server.failureDomain, now)) {
			return 'domain_out';
		}

		return this.#lost.has(server.id, now) ? 'lost' : 'doubtful';
	}

	#merge(name: string, entry: ServerEntry, now: number): Registration {
		this.#recordService(entry.server);
		const known = this.#settle(name, now);
		const {record, contradicts} = mergeEntry(known, entry, this.#ended.get(name));
		this.#servers.set(name, {record, expiresAt: undefined});
		this.#recordEnd(name, known?.server, record.server, now);
		if (contradicts === 'ended' && renewedServer(record)) {
			this.#recordReturn(name, now);
		}

		// Without the time of its start, a server that drains cannot be told from a later start.
		if (entry.server.isDraining && entry.server.startedAt !== undefined) {
			this.markLeaving(entry.server.id, now);
		}

		return {previous: known?.server, current: this.#servers.get(name)!.record.server, contradicts};
	}

	/**
	 * Records that a server is back that may have ended. One may be a late write of a server that has left. Several at once show that
	 * the store is late with the heartbeats of servers that have not, whose entries it removed for want of these.
	 */
	#recordReturn(name: string, now: number): void {
		this.#returnTimes.set(name, now);
		for (const [other, at] of this.#returnTimes) {
			if (now - at >= MAX_WRITE_DELAY_MS) {
				this.#returnTimes.delete(other);
			}
		}

		if (this.#returnTimes.size < MIN_RETURNS) {
			return;
		}

		for (const returned of this.#returnTimes.keys()) {
			const known = this.#servers.get(returned);
			if (known?.record.doubt && renewedServer(known.record)) {
				this.#servers.set(returned, {...known, record: acceptDoubt(known.record, known.record.doubt)});
			}
		}
	}

	#recordService({id, service}: BackendServer): void {
		this.#services.delete(id);
		this.#services.set(id, service);
		if (this.#services.size > MAX_KNOWN_SERVICES) {
			const [oldest] = this.#services.keys();
			this.#services.delete(oldest!);
		}
	}

	/** Brings a record up to date. Returns undefined if the server's time to register again has passed. */
	#settle(name: string, now: number): ServerRecord | undefined {
		const known = this.#servers.get(name);
		if (!known) {
			return undefined;
		}

		if (known.expiresAt !== undefined && now >= known.expiresAt) {
			this.#remove(name, known, now);
			return undefined;
		}

		const record = settleRecord(known.record, {readSince: this.#outageEndedAt, confirmationMs: this.confirmationMs}, now);
		if (record !== known.record) {
			this.#servers.set(name, {...known, record});
			this.#recordEnd(name, known.record.server, record.server, now);
		}

		return record;
	}

	#remove(name: string, {record}: RegisteredServer, now: number): void {
		this.#servers.delete(name);
		// The end of a doubtful start is known already.
		this.#recordEnd(name, record.server, undefined, now);
	}

	/** Remembers the end of a start that is no longer in force. */
	#recordEnd(name: string, before: BackendServer | undefined, after: BackendServer | undefined, now: number): void {
		if (!before || before.id === after?.id) {
			return;
		}

		for (const [other, {endedAt}] of this.#ended) {
			if (now - endedAt < ENDED_MS) {
				break;
			}

			this.#ended.delete(other);
		}

		this.#ended.delete(name);
		this.#ended.set(name, {server: before, endedAt: now});
	}
}

/** The server of a doubtful entry that was written after the server's earlier one had been removed. */
const renewedServer = (record: ServerRecord | undefined): BackendServer | undefined =>
	record?.server === undefined && record?.doubt?.isCopied === false ? record.doubt.server : undefined;

const serversOf = ({server, doubt}: ServerRecord): readonly BackendServer[] => [server, doubt?.server].filter(each => each !== undefined);
