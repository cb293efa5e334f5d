/** The deployment of a soak test: store and backend servers are stand-ins in this process, daemons are separate processes. */
import path from 'node:path';
import {freePeerPort, freePort} from '../free-port.js';
import {ProcessGuard} from '../processes.js';
import {engineFields} from '../stand-ins/platform/engine-fields.js';
import {PlatformServerStandIn} from '../stand-ins/platform/platform-server-stand-in.js';
import {StoreStandIn} from '../stand-ins/platform/store-stand-in.js';
import {FaultProxy} from './fault-proxy.js';
import type {OddEntry} from './fault-plan.js';
import {SOAK_HOST} from './soak-caller.js';
import {SoakDaemon, type SoakPorts} from './soak-daemon.js';

const FAILURE_DOMAINS = ['braga', 'famalicao', 'guimaraes'] as const;
const ENGINE_COUNT = 6;
const PLAIN_SERVER_COUNT = 3;
export const EVENTS_PER_STREAM = 8;
const EVENT_INTERVAL_MS = 40;
const RESPONSE_DELAY_MS = 15;
/** Deeper than recursive code can follow. */
const NESTING = 20_000;
export const DEADLY_BODY = 'deadly order';

/** A backend server behind a fault proxy. */
export type SoakServer = {
	readonly service: 'desk' | 'model';
	readonly failureDomain: string;
	readonly standIn: PlatformServerStandIn;
	readonly proxy: FaultProxy;
	isDraining: boolean;
	/** Whether it no longer writes its registration. */
	hasLeft: boolean;
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
				failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]!,
				ports,
				program: path.resolve(options.program),
				folder: options.folder,
				storeProxy: await FaultProxy.create(store.address),
				guard: fleet.#guard,
			}));
		}

		for (let index = 0; index < ENGINE_COUNT + PLAIN_SERVER_COUNT; index++) {
			await fleet.addServer(index < ENGINE_COUNT ? 'model' : 'desk', FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]!);
		}

		return fleet;
	}

	readonly daemons: SoakDaemon[] = [];
	readonly servers: SoakServer[] = [];
	/** All servers of the run, including drained and crashed ones. */
	readonly allServers: SoakServer[] = [];
	/** Called when a request has crashed a server. */
	onCrash: ((server: SoakServer) => void) | undefined;
	readonly #guard = ProcessGuard.create();
	#serverCount = 0;
	#oddEntries = 0;

	private constructor(readonly store: StoreStandIn) {}

	async addServer(service: SoakServer['service'], failureDomain: string): Promise<SoakServer> {
		const instance = `i-${++this.#serverCount}`;
		const standIn = await PlatformServerStandIn.create({
			instance,
			crashingBodies: [DEADLY_BODY],
			onCrash: () => {
				this.onCrash?.(server);
			},
			...(service === 'model' ? {events: EVENTS_PER_STREAM, paceMs: EVENT_INTERVAL_MS} : {paceMs: RESPONSE_DELAY_MS}),
		});
		const proxy = await FaultProxy.create(standIn.address);
		const server: SoakServer = {
			service, failureDomain, standIn, proxy, isDraining: false, hasLeft: false,
		};
		this.servers.push(server);
		this.allServers.push(server);
		this.register(server);
		return server;
	}

	register({service, failureDomain, standIn, proxy, isDraining}: SoakServer): void {
		this.store.put('servers', standIn.instance, {
			service,
			address: proxy.address,
			zone: failureDomain,
			slots: 8,
			state: isDraining ? 'draining' : 'ready',
			'cold-remaining-ms': 0,
			sequence: 1,
			born: 1,
		});
	}

	/** Registers an entry of another writer. Returns its name. */
	registerOddEntry(entry: OddEntry): string {
		const name = `odd-${++this.#oddEntries}`;
		const spec = {
			service: 'desk', address: '127.0.0.1:70000', zone: FAILURE_DOMAINS[0], slots: 8, state: 'ready',
		};
		switch (entry) {
			case 'nested': {
				this.store.putText('servers', name, `${'['.repeat(NESTING)}${']'.repeat(NESTING)}`);
				break;
			}

			case 'number': {
				this.store.putText('servers', name, JSON.stringify({...spec, address: '127.0.0.1:1', slots: 0}).replace('"slots":0', '"slots":1e999'));
				break;
			}

			case 'port': {
				this.store.put('servers', name, spec);
				break;
			}

			case 'types': {
				this.store.put('servers', name, {
					...spec, address: ['127.0.0.1:1'], slots: 'eight', born: 1e300,
				});
				break;
			}
		}

		return name;
	}

	unregister(server: SoakServer): void {
		server.hasLeft = true;
		this.store.remove('servers', server.standIn.instance);
	}

	/** Writes what operators and servers had written again, after the store has come back from an older copy. */
	rewrite(version: number): void {
		this.configure(version);
		for (const server of this.allServers) {
			if (server.hasLeft) {
				this.store.remove('servers', server.standIn.instance);
			} else {
				this.register(server);
			}
		}
	}

	/** Stores configuration `version`; each version adds one route to those of the version before. */
	configure(version: number): void {
		const route = (name: string, kind: string, service: string, overrides: Record<string, unknown> = {}) => ({
			name, host: SOAK_HOST, 'path-prefix': `/${name}/`, kind, 'timeout-ms': 4000, 'target-latency-ms': 300, priority: 1, service, 'max-attempts': 2, anonymous: true, ...overrides,
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
		await Promise.all(this.daemons.map(async ({options}) => options.storeProxy.close()));
		await Promise.all(this.allServers.map(async ({standIn, proxy}) => {
			await proxy.close();
			await standIn.close();
		}));
		await this.store.close();
	}
}
