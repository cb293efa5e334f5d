/** A complete deployment on loopback: platform stand-ins, backend servers and daemons, each a separate process. */
import {request} from 'undici';
import {
	CONFIGURATION_KEY, type Configuration, type FailureDomain, type ModelService, type PlainService, type Service,
} from '../src/configuration/schema.js';
import type {Host} from '../src/object-api/host-list.js';
import {Processes, type RunningProcess} from './processes.js';
import {delay} from './stand-ins/stand-in-server.js';

const READY_TIMEOUT_MS = 30_000;
const READY_POLL_MS = 50;
/** Shorter than in production, since there is no load balancer that has to notice the drain. */
const DRAIN_LAG_MS = 100;

export type DeploymentOptions = {
	readonly configuration: Configuration;
	/** Number of backend servers of each service in each of its failure domains, by service name or one number for all services. */
	readonly backendsPerDomain: number | Readonly<Record<string, number>>;
	readonly daemonsPerDomain: number;
	readonly seed?: number;
	/** Factor by which engines are faster than the configuration states. */
	readonly speed?: number;
	/** Whether engines have the models of their service loaded at boot. Default true. */
	readonly startsLoaded?: boolean;
	/** Whether backend servers are warm at their first boot. */
	readonly startsWarm?: boolean;
	readonly hostListLagMs?: number;
	/** Time in ms for which a daemon keeps accepting requests after SIGTERM. */
	readonly drainLagMs?: number;
	/** Additional command-line flags of the stand-ins and daemons, for example `['--log-level', 'debug']`. */
	readonly engineArgs?: readonly string[];
	readonly plainServiceArgs?: readonly string[];
	readonly daemonArgs?: readonly string[];
};

/** A backend server process with its entry in the host list. */
export type Backend = {
	readonly host: Host;
	readonly kind: Service['kind'];
	readonly process: RunningProcess;
};

/** A daemon process. It listens on one address for callers and on another for other daemons. */
export type Daemon = {
	readonly id: string;
	readonly failureDomain: string;
	readonly region: string;
	readonly process: RunningProcess;
};

type JsonResponse = {readonly status: number; readonly body: unknown};

/** Sends a JSON request to a stand-in or daemon. Rejects when there is no response. */
export async function sendJsonRequest(
	method: 'GET' | 'PUT' | 'POST' | 'PATCH' | 'DELETE',
	url: string,
	body?: unknown,
	headers: Readonly<Record<string, string>> = {},
): Promise<JsonResponse> {
	const response = await request(url, {
		method, headers: {'content-type': 'application/json', ...headers}, body: body === undefined ? null : JSON.stringify(body),
	});
	const text = await response.body.text();
	return {status: response.statusCode, body: text === '' ? undefined : JSON.parse(text)};
}

const toFlags = (values: Readonly<Record<string, string | number>>): readonly string[] => Object.entries(values).flatMap(([key, value]) => [`--${key}`, String(value)]);

/** Compares ids that end in a number by that number: `braga-2` before `braga-10`. */
const compareIds = (a: string, b: string): number => a.localeCompare(b, 'en', {numeric: true});

export class Deployment {
	/** Starts all processes and waits until every daemon is ready. Stops the started processes on failure. */
	static async create(options: DeploymentOptions): Promise<Deployment> {
		const deployment = new Deployment(options);
		try {
			await deployment.#startPlatform();
			await deployment.#startBackends();
			await deployment.#startDaemons();
		} catch (err) {
			await deployment.close();
			throw err;
		}

		return deployment;
	}

	objectApi!: RunningProcess;
	hostList!: RunningProcess;
	weightStore!: RunningProcess;
	readonly #options: DeploymentOptions;
	readonly #processes = Processes.create();
	readonly #backends: Backend[] = [];
	readonly #daemons: Daemon[] = [];
	readonly #lastNumbers = new Map<string, number>();

	private constructor(options: DeploymentOptions) {
		this.#options = options;
	}

	/** All backend servers sorted by id, including those that have exited. */
	get backends(): readonly Backend[] {
		return this.#backends.toSorted((a, b) => compareIds(a.host.id, b.host.id));
	}

	/** All daemons sorted by id, including those that have exited. */
	get daemons(): readonly Daemon[] {
		return this.#daemons.toSorted((a, b) => compareIds(a.id, b.id));
	}

	/** Replaces all faults of a stand-in. */
	async setFaults(standIn: RunningProcess, faults: unknown): Promise<void> {
		await this.#requestOk('PUT', `${standIn.url}/faults`, faults);
	}

	/** Reads the counters of a stand-in. */
	async readCounts(standIn: RunningProcess): Promise<Readonly<Record<string, unknown>>> {
		return await this.#requestOk('GET', `${standIn.url}/counts`) as Readonly<Record<string, unknown>>;
	}

	/** Stores a configuration, replacing the current version if there is one; returns the new version. */
	async applyConfiguration(configuration: Configuration): Promise<number> {
		const url = `${this.objectApi.url}/v1/objects/${CONFIGURATION_KEY}`;
		const present = await sendJsonRequest('GET', url);
		const condition: Readonly<Record<string, string>> = present.status === 200
			? {'if-match': String((present.body as {version: number}).version)}
			: {'if-none-match': '*'};
		const {version} = await this.#requestOk('PUT', url, configuration, condition) as {version: number};
		return version;
	}

	/** Makes the platform unreachable for the daemons of these failure domains and reachable for all others. Replaces all other faults of the platform. */
	async disconnectFromPlatform(failureDomains: readonly string[]): Promise<void> {
		await Promise.all([this.objectApi, this.hostList].map(async standIn => this.setFaults(standIn, {cutCallers: failureDomains})));
	}

	/** Starts one more backend server of a service and adds it to the host list as live. */
	async addBackend(service: Service, failureDomain: string): Promise<Backend> {
		const backend = await this.#startBackend(service, failureDomain);
		await this.replaceHosts(this.#backends.filter(({process}) => process.isRunning).map(({host}) => host));
		return backend;
	}

	/** Starts one more daemon and waits until it is ready. */
	async addDaemon(failureDomain: FailureDomain): Promise<Daemon> {
		const daemon = await this.#startDaemon(failureDomain);
		await this.#waitUntilReady(daemon);
		return daemon;
	}

	/** Replaces all entries of the host list. */
	async replaceHosts(hosts: readonly Host[]): Promise<void> {
		await this.#requestOk('PUT', `${this.hostList.url}/hosts`, {hosts});
	}

	/** Changes the state of a backend server in the host list. */
	async setHostState(id: string, state: Host['state']): Promise<void> {
		await this.#requestOk('PATCH', `${this.hostList.url}/hosts/${encodeURIComponent(id)}`, {state});
	}

	/** Stops all processes, daemons first, so that they do not see the platform disappear. */
	async close(): Promise<void> {
		await Promise.all(this.#daemons.map(async ({process}) => process.stop()));
		await this.#processes.closeAll();
	}

	async #startPlatform(): Promise<void> {
		const {seed = 1, hostListLagMs = 0, configuration} = this.#options;
		[this.objectApi, this.hostList, this.weightStore] = await Promise.all([
			this.#startStandIn('object-api', {seed}),
			this.#startStandIn('host-list', {'lag-ms': hostListLagMs}),
			this.#startStandIn('weight-store', {'loads-per-minute': configuration.weightStore.loadsPerMinute}),
		]);
		await this.applyConfiguration(configuration);
	}

	async #startBackends(): Promise<void> {
		const {backendsPerDomain, configuration} = this.#options;
		const wanted = configuration.services.flatMap(service => {
			const count = typeof backendsPerDomain === 'number' ? backendsPerDomain : backendsPerDomain[service.name] ?? 0;
			return service.failureDomains.flatMap(domain => Array.from({length: count}, () => ({service, domain})));
		});
		await Promise.all(wanted.map(async ({service, domain}) => this.#startBackend(service, domain)));
		await this.replaceHosts(this.#backends.map(({host}) => host));
	}

	async #startBackend(service: Service, failureDomain: string): Promise<Backend> {
		const id = this.#nextId(`${service.name}-${failureDomain}`);
		const process = service.kind === 'model' ? await this.#startEngine(id, service) : await this.#startPlainService(id, service);
		const backend: Backend = {
			kind: service.kind,
			process,
			host: {
				id, address: process.address, service: service.name, failureDomain, state: 'live',
			},
		};
		this.#backends.push(backend);
		return backend;
	}

	async #startEngine(id: string, service: ModelService): Promise<RunningProcess> {
		const {seed = 1, speed = 1, startsLoaded = true, engineArgs = []} = this.#options;
		const models = service.models.map(({name, version}) => `${name}@${version}`).join(',');
		return this.#startStandIn('engine', {
			seed,
			speed,
			'kv-tokens': service.kvTokens,
			'prefill-tokens-per-second': service.prefillTokensPerSecond,
			'decode-tokens-per-second': service.decodeTokensPerSecond,
			'cold-requests': service.cold.requests,
			'cold-prefill-tokens': service.cold.prefillTokens,
			fencing: service.fencing,
			...(startsLoaded ? {models} : {}),
			'weight-store': this.weightStore.url,
		}, [...this.#warmFlags(), ...engineArgs], id);
	}

	async #startPlainService(id: string, service: PlainService): Promise<RunningProcess> {
		const identity = service.operationIdentity === 'checked' ? ['--check-identity'] : [];
		const {plainServiceArgs = []} = this.#options;
		return this.#startStandIn('plain-service', {'cold-requests': service.cold.requests}, [...identity, ...this.#warmFlags(), ...plainServiceArgs], id);
	}

	#warmFlags(): readonly string[] {
		return this.#options.startsWarm ? ['--starts-warm'] : [];
	}

	async #startDaemons(): Promise<void> {
		const {daemonsPerDomain, configuration} = this.#options;
		const wanted = configuration.failureDomains.flatMap(domain => Array.from({length: daemonsPerDomain}, () => domain));
		const daemons = await Promise.all(wanted.map(async domain => this.#startDaemon(domain)));
		await Promise.all(daemons.map(async daemon => this.#waitUntilReady(daemon)));
	}

	async #startDaemon({name, region}: FailureDomain): Promise<Daemon> {
		const id = this.#nextId(name);
		const args = toFlags({
			id,
			region,
			'failure-domain': name,
			listen: '127.0.0.1:0',
			'peer-listen': '127.0.0.1:0',
			'object-api': this.objectApi.url,
			'host-list': this.hostList.url,
			'drain-lag-ms': this.#options.drainLagMs ?? DRAIN_LAG_MS,
		});
		const process = await this.#processes.start({name: id, program: 'src/daemon/main.js', args: [...args, ...this.#options.daemonArgs ?? []]});
		const daemon: Daemon = {
			id, failureDomain: name, region, process,
		};
		this.#daemons.push(daemon);
		return daemon;
	}

	async #waitUntilReady({id, process}: Daemon): Promise<void> {
		const deadline = performance.now() + READY_TIMEOUT_MS;
		for (;;) {
			const {status, body} = await sendJsonRequest('GET', `${process.url}/readyz`);
			if (status === 200) {
				return;
			}

			if (performance.now() > deadline) {
				throw new Error(`daemon ${id} was not ready within ${READY_TIMEOUT_MS} ms: status ${status} ${JSON.stringify(body)}\n${process.log.slice(-20).join('\n')}`);
			}

			await delay(READY_POLL_MS);
		}
	}

	async #startStandIn(standIn: string, values: Readonly<Record<string, string | number>>, extraArgs: readonly string[] = [], name = standIn): Promise<RunningProcess> {
		return this.#processes.start({name, program: `testing/stand-ins/${standIn}/main.js`, args: [...toFlags(values), ...extraArgs]});
	}

	/** Returns the next unused id with this prefix: `<prefix>-1`, `<prefix>-2` and so on. */
	#nextId(prefix: string): string {
		const number = (this.#lastNumbers.get(prefix) ?? 0) + 1;
		this.#lastNumbers.set(prefix, number);
		return `${prefix}-${number}`;
	}

	async #requestOk(method: 'GET' | 'PUT' | 'PATCH', url: string, body?: unknown, headers?: Readonly<Record<string, string>>): Promise<unknown> {
		const response = await sendJsonRequest(method, url, body, headers);
		if (response.status !== 200) {
			throw new Error(`${method} ${url}: status ${response.status} ${JSON.stringify(response.body)}`);
		}

		return response.body;
	}
}
