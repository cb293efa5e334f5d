/** The deployment of a soak test: store and backend servers are stand-ins in this process, daemons are separate processes. */
import path from 'node:path';
import {freePeerPort, freePort} from '../free-port.js';
import {ProcessGuard} from '../processes.js';
import {engineFields} from '../stand-ins/platform/engine-fields.js';
import {RunnerStandIn} from '../stand-ins/platform/runner-stand-in.js';
import {StoreStandIn} from '../stand-ins/platform/store-stand-in.js';
import {FaultProxy} from './fault-proxy.js';
import {SOAK_HOST} from './soak-caller.js';
import {SoakDaemon, type SoakPorts} from './soak-daemon.js';

const DOMAINS = ['braga', 'famalicao', 'guimaraes'] as const;
const ENGINES = 6;
const DESKS = 3;
export const EVENTS_PER_STREAM = 8;
const EVENT_PACE_MS = 40;
const CALL_PACE_MS = 15;

/** A backend server behind a fault proxy. */
export type SoakServer = {
	readonly service: 'desk' | 'model';
	readonly failureDomain: string;
	readonly runner: RunnerStandIn;
	readonly proxy: FaultProxy;
	isLeaving: boolean;
};

export type FleetOptions = {
	readonly daemons: number;
	/** Path of the bundled daemon program. */
	readonly program: string;
	/** Folder for settings and logs of the daemons. */
	readonly folder: string;
};

export class SoakFleet {
	static async create(options: FleetOptions): Promise<SoakFleet> {
		const store = await StoreStandIn.create();
		const ports: SoakPorts = {
			front: await freePort(), ready: await freePort(), metrics: await freePort(), peer: await freePeerPort(),
		};
		const fleet = new SoakFleet(store);
		for (let index = 0; index < options.daemons; index++) {
			fleet.daemons.push(SoakDaemon.create({
				name: `front-${index}`,
				ip: `127.0.0.${10 + index}`,
				failureDomain: DOMAINS[index % DOMAINS.length]!,
				ports,
				program: path.resolve(options.program),
				folder: options.folder,
				storePath: await FaultProxy.create(store.address),
				guard: fleet.#guard,
			}));
		}

		for (let index = 0; index < ENGINES + DESKS; index++) {
			await fleet.addServer(index < ENGINES ? 'model' : 'desk', DOMAINS[index % DOMAINS.length]!);
		}

		return fleet;
	}

	readonly daemons: SoakDaemon[] = [];
	readonly servers: SoakServer[] = [];
	/** All servers of the run, including drained and crashed ones. */
	readonly everyServer: SoakServer[] = [];
	readonly #guard = ProcessGuard.create();
	#started = 0;

	private constructor(readonly store: StoreStandIn) {}

	async addServer(service: SoakServer['service'], failureDomain: string): Promise<SoakServer> {
		const instance = `i-${++this.#started}`;
		const runner = await RunnerStandIn.create({instance, ...(service === 'model' ? {events: EVENTS_PER_STREAM, paceMs: EVENT_PACE_MS} : {paceMs: CALL_PACE_MS})});
		const proxy = await FaultProxy.create(runner.address);
		const server: SoakServer = {
			service, failureDomain, runner, proxy, isLeaving: false,
		};
		this.servers.push(server);
		this.everyServer.push(server);
		this.register(server);
		return server;
	}

	register({service, failureDomain, runner, proxy, isLeaving}: SoakServer): void {
		this.store.put('servers', runner.instance, {
			service,
			address: proxy.address,
			zone: failureDomain,
			slots: 8,
			state: isLeaving ? 'draining' : 'ready',
			'cold-remaining-ms': 0,
			sequence: 1,
			born: 1,
		});
	}

	/** Stores configuration `version`; each version adds one route to those of the version before. */
	configure(version: number): void {
		const route = (name: string, kind: string, service: string, more: Record<string, unknown> = {}) => ({
			name, host: SOAK_HOST, 'path-prefix': `/${name}/`, kind, 'timeout-ms': 4000, 'target-latency-ms': 300, priority: 1, service, 'max-attempts': 2, anonymous: true, ...more,
		});
		this.store.put('config', 'main', {
			version,
			routes: [
				route('look', 'safe', 'desk'),
				route('book', 'unsafe', 'desk', {'max-attempts': 1}),
				route('chat', 'stream', 'model', {resumable: true, 'gap-target-ms': 200}),
				route('once', 'stream', 'model', {'gap-target-ms': 200, 'max-attempts': 1}),
				...Array.from({length: version}, (_, index) => route(`since-${index + 1}`, 'safe', 'desk')),
			],
			services: [{name: 'desk'}, {name: 'model', engine: engineFields}],
			limits: {'max-body-bytes': 1_000_000, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000},
		});
	}

	async close(): Promise<void> {
		await Promise.all(this.daemons.map(async daemon => daemon.kill()));
		await this.#guard.close();
		await Promise.all(this.daemons.map(async ({options}) => options.storePath.close()));
		await Promise.all(this.everyServer.map(async ({runner, proxy}) => {
			await proxy.close();
			await runner.close();
		}));
		await this.store.close();
	}
}
