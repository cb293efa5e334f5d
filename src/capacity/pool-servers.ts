/** The backend servers of one pool, according to the host list and the configuration. */
import type {Service} from '../configuration/schema.js';
import type {Host} from '../object-api/host-list.js';
import {BackendServerState} from './backend-server-state.js';
import type {ServerLimits} from './server-warmth.js';

/** Represents "no limit" in sums of tokens. */
const UNLIMITED = Number.MAX_SAFE_INTEGER;

/** Limits of the backend servers of a service. Plain services have no token limits. */
export function serverLimitsOf(service: Service): ServerLimits {
	if (service.kind === 'model') {
		return {
			warm: service.warm, cold: service.cold, kvTokens: service.kvTokens, prefillTokensPerSecond: service.prefillTokensPerSecond,
		};
	}

	return {
		warm: {...service.warm, prefillTokens: UNLIMITED},
		cold: {...service.cold, prefillTokens: UNLIMITED},
		kvTokens: UNLIMITED,
		prefillTokensPerSecond: UNLIMITED,
	};
}

export class PoolServers {
	readonly #servers = new Map<string, BackendServerState>();
	#service: Service;

	/** Only listings requested at `listedFromMs` or later are used. */
	constructor(service: Service, private listedFromMs: number) {
		this.#service = service;
	}

	/** Requires new listings without suspending grants. */
	requireListing(listedFromMs: number): void {
		this.listedFromMs = listedFromMs;
		for (const server of this.#servers.values()) {
			server.requireListing(listedFromMs);
		}
	}

	/** Suspends grants on servers that have not sent the last required listing. */
	suspendUnlisted(): void {
		for (const server of this.#servers.values()) {
			server.suspendUnlisted();
		}
	}

	all(): readonly BackendServerState[] {
		return [...this.#servers.values()];
	}

	/** Servers that may serve `model`. */
	servingModel(model: string | undefined): readonly BackendServerState[] {
		return this.all().filter(server => server.models.mayServe(model));
	}

	get(id: string): BackendServerState | undefined {
		return this.#servers.get(id);
	}

	/** Returns the server, or creates one that gets no requests until the host list contains it. */
	getOrCreate(id: string): BackendServerState {
		const known = this.#servers.get(id);
		if (known) {
			return known;
		}

		const server = BackendServerState.create({
			id, address: '', limits: serverLimitsOf(this.#service), supportsListing: this.#service.kind === 'model',
		});
		server.requireListing(this.listedFromMs);
		server.leaving = true;
		this.#servers.set(id, server);
		return server;
	}

	/** Applies the host list. A server that is leaving or no longer listed gets no new requests. */
	applyHosts(hosts: readonly Host[]): void {
		const listed = new Set(hosts.map(host => host.id));
		for (const host of hosts) {
			const server = this.getOrCreate(host.id);
			server.address = host.address;
			server.leaving = host.state === 'leaving';
		}

		for (const server of this.#servers.values()) {
			if (listed.has(server.id)) {
				continue;
			}

			server.leaving = true;
			if (server.totals.requests === 0) {
				this.#servers.delete(server.id);
			}
		}
	}

	setService(service: Service): void {
		this.#service = service;
		for (const server of this.#servers.values()) {
			server.setLimits(serverLimitsOf(service));
		}
	}
}
