/** Backend servers that may be used, according to their registrations and the failure domains taken out of service. */
import {ExpiringSet} from '../util/expiring-set.js';
import type {BackendServer} from './backend-server.js';

/**
 * Time in ms for which a registration found missing after a store outage is kept: servers whose registration expired
 * during the outage register again within about two seconds.
 */
const REREGISTRATION_MS = 2300;

type RegisteredServer = {
	readonly server: BackendServer;
	/** Time at which the server is removed, if its registration was found missing after a store outage. */
	expiresAt: number | undefined;
};

export class FleetView {
	static create(): FleetView {
		return new FleetView();
	}

	readonly #servers = new Map<string, RegisteredServer>();
	/** Ids of servers that do not answer at their registered address. */
	readonly #lost = ExpiringSet.create();
	#domainsOut: ReadonlySet<string> = new Set();
	#outageEndedAt = -Infinity;

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Stores a registration under its name and returns the previous one. */
	register(name: string, server: BackendServer): BackendServer | undefined {
		const known = this.#servers.get(name)?.server;
		this.#servers.set(name, {server, expiresAt: undefined});
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
			this.#servers.delete(name);
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

	setDomainsOut(domains: ReadonlySet<string>): void {
		this.#domainsOut = domains;
	}

	/**
	 * Records that a server does not answer at its registered address although its registration has not expired yet. Returns
	 * whether this was not known. The id changes with each start, so a restarted server is not affected.
	 */
	markLost(id: string, until: number, now: number): boolean {
		return this.#lost.add(id, until, now);
	}

	/** Servers of a service that may receive new requests. Lost ones are returned only if there are no others. */
	usableServers(service: string, now: number): readonly BackendServer[] {
		const available: BackendServer[] = [];
		const lost: BackendServer[] = [];
		for (const [name, {server, expiresAt}] of this.#servers) {
			if (expiresAt !== undefined && now >= expiresAt) {
				this.#servers.delete(name);
			} else if (server.service === service && !server.isDraining && !this.#domainsOut.has(server.failureDomain)) {
				(this.#lost.has(server.id, now) ? lost : available).push(server);
			}
		}

		return available.length > 0 ? available : lost;
	}

	/** Ids of all registered servers. */
	serverIds(): ReadonlySet<string> {
		return new Set([...this.#servers.values()].map(({server}) => server.id));
	}
}
