/**
 * Backend servers that may be used, according to their registrations and the failure domains taken out of service.
 *
 * After the store has come back from an older copy, registrations in it are older than what this daemon knows, until the
 * servers have written them again. What is known of a start of a server then goes first: that it drains, is cold, has left
 * or was followed by a later start.
 */
import {ExpiringSet} from '../util/expiring-set.js';
import type {BackendServer} from './backend-server.js';
import {DomainsOut} from './domains-out.js';

/**
 * Time in ms for which a registration found missing after a store outage is kept: servers whose registration expired
 * during the outage register again within about two seconds.
 */
const REREGISTRATION_MS = 2300;

/** Time in ms for which a leaving server is remembered. It stops within many seconds. */
const LEAVING_MS = 600_000;
/** Time in ms for which this daemon remembers that a server has left. Copies are some seconds old. */
const DEPARTED_MS = 60_000;

/** A registration from an older copy of the store, which counts from `confirmedAt` on. */
type CopiedRegistration = {readonly server: BackendServer; readonly revision: number; readonly confirmedAt: number};

type RegisteredServer = {
	/** Undefined if the registration is that of a server that has left, and not confirmed yet. */
	readonly server: BackendServer | undefined;
	readonly copied: CopiedRegistration | undefined;
	/** Time at which the server is removed, if its registration was found missing after a store outage. */
	expiresAt: number | undefined;
};

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
	/** Ids of servers that said in a response that they leave. It holds until they have started anew, whatever their registration says. */
	readonly #leaving = ExpiringSet.create();
	/** Ids of servers that have left. */
	readonly #departed = ExpiringSet.create();
	#outageEndedAt = -Infinity;

	private constructor(private readonly confirmationMs: number) {}

	/** Stores a registration under its name, with the revision of its last change, and returns the previous one. */
	register(name: string, server: BackendServer, revision: number): BackendServer | undefined {
		const known = this.#servers.get(name);
		// The server has not written its registration since the copy.
		if (known?.copied?.revision !== revision) {
			this.#servers.set(name, {server, copied: undefined, expiresAt: undefined});
		}

		return known?.server;
	}

	/** Stores a registration that was listed in a store that has come back from an older copy. Returns the previous one. */
	registerCopied(name: string, server: BackendServer, revision: number, now: number): BackendServer | undefined {
		this.#removeExpired(name, now);
		const known = this.#servers.get(name)?.server;
		const merged = known?.id === server.id ? keepKnownState(server, known) : server;
		const later = known && isEarlierStart(server, known) ? known : undefined;
		const isDoubtful = later !== undefined || this.#departed.has(server.id, now);
		this.#servers.set(name, {
			server: isDoubtful ? later : merged,
			copied: {server: merged, revision, confirmedAt: isDoubtful ? now + this.confirmationMs : now},
			expiresAt: undefined,
		});
		return known;
	}

	/** Handles the removal of a registration. */
	unregister(name: string, now: number): void {
		const known = this.#servers.get(name);
		if (!known) {
			return;
		}

		if (now < this.#outageEndedAt + REREGISTRATION_MS) {
			known.expiresAt ??= this.#outageEndedAt + REREGISTRATION_MS;
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

	/** Registered servers, of one service or of all, that are neither leaving nor in a failure domain out of service. */
	servingServers(now: number, service?: string): readonly BackendServer[] {
		const servers: BackendServer[] = [];
		for (const [name, known] of this.#servers) {
			const server = this.#removeExpired(name, now) ? undefined : currentServer(known, now);
			if (server && (service === undefined || server.service === service) && !server.isDraining && !this.#leaving.has(server.id, now) && !this.domainsOut.has(server.failureDomain, now)) {
				servers.push(server);
			}
		}

		return servers;
	}

	/** Ids of all registered servers. */
	serverIds(): ReadonlySet<string> {
		return new Set([...this.#servers.values()].flatMap(({server, copied}) => [server, copied?.server]).filter(server => server !== undefined).map(({id}) => id));
	}

	/** Removes a server whose time to register again has passed. Returns whether it did. */
	#removeExpired(name: string, now: number): boolean {
		const known = this.#servers.get(name);
		const isExpired = known?.expiresAt !== undefined && now >= known.expiresAt;
		if (isExpired) {
			this.#remove(name, known, now);
		}

		return isExpired;
	}

	#remove(name: string, known: RegisteredServer, now: number): void {
		this.#servers.delete(name);
		for (const server of [known.server, known.copied?.server]) {
			if (server) {
				this.#departed.add(server.id, now + DEPARTED_MS, now);
			}
		}
	}
}

const currentServer = ({server, copied}: RegisteredServer, now: number): BackendServer | undefined =>
	copied && now >= copied.confirmedAt ? copied.server : server;

const isEarlierStart = (a: BackendServer, b: BackendServer): boolean =>
	a.startedAt !== undefined && b.startedAt !== undefined && a.startedAt < b.startedAt;

const keepKnownState = (copied: BackendServer, known: BackendServer): BackendServer => ({
	...copied,
	isDraining: copied.isDraining || known.isDraining,
	coldUntil: Math.max(copied.coldUntil, known.coldUntil),
});
