/** The backend servers that may be used, from their registrations and from the failure domains that operators took out. */
import {ExpiringSet} from '../util/expiring-set.js';
import type {BackendServer} from './backend-server.js';

/**
 * A registration that is missing after the store was away is kept for this time: servers whose registration lapsed
 * meanwhile register again within about two seconds.
 */
const RETURN_TIME_MS = 2300;

type Known = {
	readonly server: BackendServer;
	/** Set when the registration was found missing after an outage: time at which the server counts as gone. */
	goneAt: number | undefined;
};

export class FleetView {
	static create(): FleetView {
		return new FleetView();
	}

	readonly #servers = new Map<string, Known>();
	/** Ids of servers that do not answer under their registration. */
	readonly #lost = ExpiringSet.create();
	#domainsOut: ReadonlySet<string> = new Set();
	#awayUntil = -Infinity;

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Records a registration under its name. Returns the one before. */
	register(name: string, server: BackendServer): BackendServer | undefined {
		const known = this.#servers.get(name)?.server;
		this.#servers.set(name, {server, goneAt: undefined});
		return known;
	}

	/** Records that a registration was removed. */
	unregister(name: string, now: number): void {
		const known = this.#servers.get(name);
		if (!known) {
			return;
		}

		if (now < this.#awayUntil + RETURN_TIME_MS) {
			known.goneAt ??= this.#awayUntil + RETURN_TIME_MS;
		} else {
			this.#servers.delete(name);
		}
	}

	/** Removes all registrations that a complete list does not name. */
	retain(names: ReadonlySet<string>, now: number): void {
		for (const name of this.#servers.keys()) {
			if (!names.has(name)) {
				this.unregister(name, now);
			}
		}
	}

	/** The store could not be read until `now`. */
	noteOutage(now: number): void {
		this.#awayUntil = now;
	}

	setDomainsOut(domains: ReadonlySet<string>): void {
		this.#domainsOut = domains;
	}

	/**
	 * A server does not answer under its registration, which lapses later only. Returns whether that is news. Its identity
	 * changes with each start, so one that returns is not left out.
	 */
	noteLost(id: string, until: number, now: number): boolean {
		return this.#lost.add(id, until, now);
	}

	/** Servers of a service that may receive new work. Lost ones are used only when there are no others. */
	usable(service: string, now: number): readonly BackendServer[] {
		const usable: BackendServer[] = [];
		const lost: BackendServer[] = [];
		for (const [name, {server, goneAt}] of this.#servers) {
			if (goneAt !== undefined && now >= goneAt) {
				this.#servers.delete(name);
			} else if (server.service === service && !server.isDraining && !this.#domainsOut.has(server.failureDomain)) {
				(this.#lost.has(server.id, now) ? lost : usable).push(server);
			}
		}

		return usable.length > 0 ? usable : lost;
	}

	/** Ids of all registered servers. */
	ids(): ReadonlySet<string> {
		return new Set([...this.#servers.values()].map(({server}) => server.id));
	}
}
