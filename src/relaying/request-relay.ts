/**
 * Knows whether this host has a path to the backend servers, and which host relays its requests while it has none.
 *
 * Most connections that fail are due to the server, so the path counts as lost only after several servers, and a few probes
 * find out when it is back. A relayed request goes to the client interface of another daemon, on the port for daemons.
 */
import type {BackendServer} from '../fleet/backend-server.js';
import type {Member} from '../fleet/fleet-topology.js';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import {PathProbe} from './path-probe.js';
import {RelayHosts} from './relay-hosts.js';
import {ServerPath, type PathChange} from './server-path.js';

export type RequestRelayOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	/** Port for daemons, the same on all hosts. */
	readonly peerPort: number;
	/** All registered backend servers that may be used. */
	servers(now: number): readonly BackendServer[];
	/** Other hosts whose daemons are known and not known to be down. */
	hosts(now: number): readonly Member[];
	/** Random number between 0 and 1. */
	random(): number;
	/** Called when the path to the servers is lost or back. */
	onPathChanged(): void;
};

export class RequestRelay {
	static create(options: RequestRelayOptions): RequestRelay {
		return new RequestRelay(options);
	}

	readonly #path = ServerPath.create();
	readonly #hosts = RelayHosts.create();
	readonly #probe: PathProbe;
	/** Latest version of the configuration by which another host has handled a request of this one. */
	#configuration = -Infinity;

	private constructor(private readonly options: RequestRelayOptions) {
		const {clock} = options;
		this.#probe = PathProbe.create({
			isNeeded: () => this.#path.isLost,
			nextServer: () => this.#randomServer(clock()),
			onConnected: () => {
				this.recordConnected(clock());
			},
			onNotConnected: server => {
				this.recordNotConnected(server, clock());
			},
			onError(err) {
				options.logger.warn('probe_failed', {message: String(err)});
			},
		});
	}

	/** Whether this host has no path to the backend servers. */
	get isNeeded(): boolean {
		return this.#path.isLost;
	}

	/** Whether the latest failures to connect, at several servers, may be due to this host. */
	get isPathDoubtful(): boolean {
		return this.#path.isDoubtful;
	}

	recordConnected(now: number): void {
		this.#handleChange(this.#path.recordConnected(now));
	}

	recordNotConnected(server: BackendServer, now: number): void {
		this.#handleChange(this.#path.recordNotConnected(server, this.options.servers(now), now));
	}

	/** IP:PORT of a daemon that relays a request, among those that `isAllowed` accepts by address and failure domain; undefined if there is none. */
	chooseAddress(isAllowed: (address: string, failureDomain: string) => boolean, now: number): string | undefined {
		const {hosts, random} = this.options;
		const host = this.#hosts.choose(hosts(now).filter(member => isAllowed(this.#addressOf(member), member.failureDomain)), random(), now);
		return host && this.#addressOf(host);
	}

	recordConfiguration(version: number): void {
		this.#configuration = Math.max(this.#configuration, version);
	}

	/** The version of the configuration below which no host may handle a request that was admitted by `admitted`, so that this one never reverts. */
	requiredConfiguration(admitted: number): number {
		return Math.max(this.#configuration, admitted);
	}

	/** Leaves out for a short time a daemon that could not be reached or broke off. */
	skip(address: string, now: number): void {
		this.#hosts.skip(address.split(':')[0]!, now);
	}

	close(): void {
		this.#probe.close();
	}

	#addressOf({address}: Member): string {
		return `${address}:${this.options.peerPort}`;
	}

	#randomServer(now: number): BackendServer | undefined {
		const servers = this.options.servers(now);
		return servers[Math.floor(this.options.random() * servers.length)];
	}

	#handleChange(change: PathChange | undefined): void {
		const {logger, onPathChanged} = this.options;
		if (change) {
			onPathChanged();
		}

		switch (change?.kind) {
			case 'lost': {
				logger.warn('server_path_lost', {
					servers: change.failedServers.join(','),
					first_failure_age_ms: Math.round(change.firstFailureAgeMs),
					last_connection_age_ms: change.lastConnectionAgeMs === undefined ? undefined : Math.round(change.lastConnectionAgeMs),
				});
				this.#probe.start();
				break;
			}

			case 'regained': {
				logger.info('server_path_regained', {ms: Math.round(change.lostForMs)});
				break;
			}

			case undefined: {
				break;
			}
		}
	}
}
