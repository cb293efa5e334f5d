/**
 * Decides whether this host has lost its network path to all backend servers, while clients, the store and other hosts may
 * still reach it.
 *
 * Only new connections count: old ones may live on when new ones fail. Servers that have crashed or left are reported by
 * other hosts and not tried, and a failure domain that is cut off makes only its own servers unreachable. A server that is
 * full, slow or silent accepts connections.
 */
import type {BackendServer} from '../fleet/backend-server.js';

/** Servers in a row to which no connection could be opened, after which the path counts as lost. */
const MIN_FAILED_SERVERS = 3;
/** They have to be in several failure domains, unless all servers are in one. */
const MIN_FAILED_DOMAINS = 2;
/** Time in ms after which a failure to connect says nothing about the path any more. */
const FAILURE_TTL_MS = 3000;
/** Connections in a row after which a lost path counts as regained. */
const MIN_CONNECTIONS = 2;

/** What a decision about the path needs of a server. */
export type PathServer = Pick<BackendServer, 'id' | 'failureDomain'>;

/** A change of the path, with the inputs of the decision and their ages in ms. */
export type PathChange =
	| {readonly kind: 'lost'; readonly failedServers: readonly string[]; readonly firstFailureAgeMs: number; readonly lastConnectionAgeMs: number | undefined}
	| {readonly kind: 'regained'; readonly lostForMs: number};

type ConnectFailure = {readonly failureDomain: string; readonly at: number};

export class ServerPath {
	static create(): ServerPath {
		return new ServerPath();
	}

	/** Latest failure of each server since the last connection. */
	readonly #failures = new Map<string, ConnectFailure>();
	#connectedAt: number | undefined;
	#lostAt: number | undefined;
	/** Connections in a row since the path was lost. */
	#connections = 0;

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	get isLost(): boolean {
		return this.#lostAt !== undefined;
	}

	/** Whether the latest attempts, at more than one server, have failed: a server that could not be connected to may be sound. */
	get isDoubtful(): boolean {
		return this.isLost || this.#failures.size > 1;
	}

	/** Records a connection to a server. Returns a change of the path, if this is one. */
	recordConnected(now: number): PathChange | undefined {
		this.#failures.clear();
		this.#connectedAt = now;
		if (this.#lostAt === undefined || ++this.#connections < MIN_CONNECTIONS) {
			return undefined;
		}

		const lostForMs = now - this.#lostAt;
		this.#lostAt = undefined;
		return {kind: 'regained', lostForMs};
	}

	/** Records a failure to connect to one of the servers `others` or another one. Returns a change of the path, if this is one. */
	recordNotConnected({id, failureDomain}: PathServer, others: readonly PathServer[], now: number): PathChange | undefined {
		this.#connections = 0;
		this.#failures.set(id, {failureDomain, at: now});
		for (const [server, {at}] of this.#failures) {
			if (now - at > FAILURE_TTL_MS) {
				this.#failures.delete(server);
			}
		}

		const failures = [...this.#failures.values()];
		const failedDomains = new Set(failures.map(failure => failure.failureDomain));
		const servers = new Set([...this.#failures.keys(), ...others.map(other => other.id)]);
		const domains = new Set([...failedDomains, ...others.map(other => other.failureDomain)]);
		const isLost = failures.length >= Math.min(MIN_FAILED_SERVERS, servers.size) && failedDomains.size >= Math.min(MIN_FAILED_DOMAINS, domains.size);
		if (this.isLost || !isLost) {
			return undefined;
		}

		this.#lostAt = now;
		return {
			kind: 'lost',
			failedServers: [...this.#failures.keys()],
			firstFailureAgeMs: now - Math.min(...failures.map(({at}) => at)),
			lastConnectionAgeMs: this.#connectedAt === undefined ? undefined : now - this.#connectedAt,
		};
	}
}
