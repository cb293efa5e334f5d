/** Runs the daemon program beside backend servers that send bytes without end, and measures its memory and what calm callers get. */
import {spawn, type ChildProcess} from 'node:child_process';
import {
	mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {request} from 'undici';
import {pause} from '../../src/util/pause.js';
import {peakMemoryBytes} from '../bench/process-usage.js';
import {freePeerPort, freePort} from '../free-port.js';
import {buildPlatformProgram, platformNodeFlags} from '../platform-program.js';
import {Processes} from '../processes.js';
import type {EndlessBytes} from '../stand-ins/platform/endless-server-stand-in.js';
import {PlatformServerStandIn} from '../stand-ins/platform/platform-server-stand-in.js';
import {StoreStandIn} from '../stand-ins/platform/store-stand-in.js';

/** Memory in MB of the hosts of the first deployments. */
export const HOST_MEMORY_MB = 350;
/** Time in ms within which an order of the first deployment has its full worth. */
export const ORDER_TARGET_MS = 386;
const BYTES_PER_MB = 1024 * 1024;
const ORDER_INTERVAL_MS = 50;
const ORDER_DEADLINE_MS = 3000;
const ORDER_WORK_MS = 20;
const WARM_UP_MS = 1500;
/** Timeout of all routes. */
const ROUTE_TIMEOUT_MS = 10_000;
const CHECK_INTERVAL_MS = 20;
/** Nothing listens on port 1. */
const NO_STORE = '127.0.0.1:1';
const READY_TIMEOUT_MS = 10_000;
/** Lines of the log that are kept. */
const LOG_LINES = 2000;
const ENDED = /event=(?:attempt_failed .*server=endless |response_dropped|silent_attempt|request_done .*request=endless-.*sends=[1-9])/v;
/** Time in ms by which a request may end after its timeout while the daemon is busy. */
const LATE_MS = 2000;

export type EndlessLoad = {
	readonly bytes: EndlessBytes;
	/** Whether the requests are streams that may be resumed, or calls that may be repeated. */
	readonly kind: 'stream' | 'call';
	/** Requests that are open at the same time. */
	readonly requests: number;
	/** Whether their clients read what they get. */
	readonly isReading: boolean;
	readonly durationMs: number;
};

export type EndlessResult = {
	/** Largest resident memory of the daemon in MB; undefined if it has ended by itself. */
	readonly peakMb: number | undefined;
	/** Statuses of the calm orders other than 200; 0 for a connection that broke. */
	readonly failedOrders: readonly number[];
	/** Times of the calm orders in ms, ascending, and of those before the load, which show how busy this machine is otherwise. */
	readonly orderMs: readonly number[];
	readonly earlierOrderMs: readonly number[];
	readonly log: readonly string[];
	/** Whether the log names an endless response that was ended, at the latest by the timeout of its route. */
	readonly hasEnded: boolean;
};

export type EndlessStoreResult = Pick<EndlessResult, 'peakMb' | 'log'> & {
	/** Times in ms of the answers to checks of the balancer, ascending, and of a daemon whose store does not listen. */
	readonly checkMs: readonly number[];
	readonly earlierCheckMs: readonly number[];
};

const route = (name: string, kind: string, service: string) => ({
	name,
	host: 'desk.example',
	'path-prefix': `/${name}/`,
	kind,
	resumable: kind === 'stream',
	'timeout-ms': ROUTE_TIMEOUT_MS,
	'target-latency-ms': ORDER_TARGET_MS,
	'gap-target-ms': 200,
	priority: 1,
	service,
	'max-attempts': 2,
	anonymous: true,
});

export async function runEndlessLoad({bytes, kind, requests, isReading, durationMs}: EndlessLoad): Promise<EndlessResult> {
	const store = await StoreStandIn.create();
	const desk = await PlatformServerStandIn.create({instance: 'calm', paceMs: ORDER_WORK_MS});
	const register = (service: string, instance: string, address: string): void => {
		store.put('servers', instance, {
			service, address, zone: 'braga', slots: 1000, state: 'ready', 'cold-remaining-ms': 0, sequence: 1, born: 1,
		});
	};

	store.put('config', 'main', {
		version: 1,
		routes: [route('order', 'unsafe', 'desk'), route('stream', 'stream', 'endless'), route('call', 'safe', 'endless')],
		services: [{name: 'desk'}, {name: 'endless'}],
		limits: {'max-body-bytes': 1_000_000, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000},
	});
	register('desk', 'calm', desk.address);
	const processes = Processes.create();
	const daemon = await DaemonRun.start(store.address);
	try {
		await waitUntilReady(daemon.ports.ready);
		// Compiles the program's code, which is not what is measured.
		await sendOrders(daemon.ports.front, WARM_UP_MS);
		const earlier = await sendOrders(daemon.ports.front, WARM_UP_MS);
		const load = await processes.start({
			name: 'endless load', program: 'testing/load/endless-load.js', args: [bytes, `127.0.0.1:${daemon.ports.front}`, `/${kind}/x`, String(requests), String(isReading)],
		});
		register('endless', 'endless', load.address);
		const end = performance.now() + ROUTE_TIMEOUT_MS + LATE_MS;
		const orders = await sendOrders(daemon.ports.front, durationMs);
		const hasEnded = (): boolean => daemon.log.some(line => ENDED.test(line));
		// Events are relayed for as long as they come.
		if (bytes !== 'large events') {
			while (!hasEnded() && performance.now() < end) {
				await pause(CHECK_INTERVAL_MS);
			}
		}

		return {
			hasEnded: hasEnded(),
			peakMb: daemon.peakMb,
			failedOrders: orders.map(({status}) => status).filter(status => status !== 200),
			orderMs: timesOf(orders),
			earlierOrderMs: timesOf(earlier),
			log: daemon.log,
		};
	} finally {
		daemon.close();
		await processes.closeAll();
		await Promise.all([desk.close(), store.close()]);
	}
}

/** Runs a daemon whose store answers each call without end, and before that one whose store does not listen. */
export async function runEndlessStore(bytes: EndlessBytes, durationMs: number): Promise<EndlessStoreResult> {
	const processes = Processes.create();
	try {
		const {checkMs: earlierCheckMs} = await checkDaemon(NO_STORE, WARM_UP_MS);
		const store = await processes.start({name: 'endless store', program: 'testing/load/endless-load.js', args: [bytes, '', '', '0']});
		return {...await checkDaemon(store.address, durationMs), earlierCheckMs};
	} finally {
		await processes.closeAll();
	}
}

/** Sends a daemon the checks of the balancer, from the time on at which it is warm. */
async function checkDaemon(storeAddress: string, durationMs: number): Promise<Omit<EndlessStoreResult, 'earlierCheckMs'>> {
	const daemon = await DaemonRun.start(storeAddress);
	try {
		const checkMs: number[] = [];
		const end = performance.now() + WARM_UP_MS + durationMs;
		while (performance.now() < end) {
			const startedAt = performance.now();
			const status = await checkReadiness(daemon.ports.ready);
			if (status !== undefined && performance.now() > end - durationMs) {
				checkMs.push(performance.now() - startedAt);
			}

			await pause(CHECK_INTERVAL_MS);
		}

		return {peakMb: daemon.peakMb, log: daemon.log, checkMs: checkMs.sort((a, b) => a - b)};
	} finally {
		daemon.close();
	}
}

type DaemonPorts = {readonly front: number; readonly ready: number; readonly metrics: number; readonly peer: number};

/** The daemon program with the flags of the deploy file. */
class DaemonRun {
	static async start(storeAddress: string): Promise<DaemonRun> {
		const ports = {
			front: await freePort(), ready: await freePort(), metrics: await freePort(), peer: await freePeerPort(),
		};
		return new DaemonRun(ports, storeAddress);
	}

	readonly log: string[] = [];
	readonly #folder = mkdtempSync(path.join(tmpdir(), 'fireflyport-'));
	readonly #child: ChildProcess;

	private constructor(readonly ports: DaemonPorts, storeAddress: string) {
		const settings = path.join(this.#folder, 'local.json');
		writeFileSync(settings, JSON.stringify({
			node: 'front-1',
			ip: '127.0.0.1',
			zone: 'braga',
			zones: {braga: 'pt-norte'},
			listen: {front: `127.0.0.1:${ports.front}`, ready: `127.0.0.1:${ports.ready}`},
			'internal-port-range': [ports.peer, ports.metrics],
			limits: {'cpu-share': 0.675, cores: 1, 'memory-mb': HOST_MEMORY_MB},
			bounds: {
				'grace-s': 5, 'stable-window-ms': 3000, 'retry-budget-ratio': 0.2, 'budget-slack': 100,
			},
			platform: {address: storeAddress},
		}));
		this.#child = spawn(process.execPath, [...platformNodeFlags(), buildPlatformProgram(this.#folder)], {
			env: {...process.env, FIREFLYPORT_CONFIG: settings}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		for (const stream of [this.#child.stdout!, this.#child.stderr!]) {
			createInterface({input: stream}).on('line', line => {
				this.log.push(line);
				this.log.splice(0, this.log.length - LOG_LINES);
			});
		}
	}

	/** Largest resident memory so far in MB; undefined if the program has ended by itself. */
	get peakMb(): number | undefined {
		const {pid, exitCode, signalCode} = this.#child;
		return exitCode === null && signalCode === null ? peakMemoryBytes(pid!) / BYTES_PER_MB : undefined;
	}

	close(): void {
		this.#child.kill('SIGKILL');
		rmSync(this.#folder, {recursive: true});
	}
}

async function waitUntilReady(port: number): Promise<void> {
	const end = performance.now() + READY_TIMEOUT_MS;
	while (await checkReadiness(port) !== 200) {
		if (performance.now() > end) {
			throw new Error(`the daemon was not ready within ${READY_TIMEOUT_MS} ms`);
		}

		await pause(CHECK_INTERVAL_MS);
	}
}

/** Returns the status of a check by the balancer; undefined while the daemon does not listen. */
async function checkReadiness(port: number): Promise<number | undefined> {
	try {
		const {statusCode, body} = await request(`http://127.0.0.1:${port}/-/ready`);
		await body.dump();
		return statusCode;
	} catch {
		// Not listening yet, or no longer.
		return undefined;
	}
}

const timesOf = (orders: readonly Order[]): readonly number[] => orders.map(({ms}) => ms).sort((a, b) => a - b);

type Order = {readonly status: number; readonly ms: number};

async function sendOrders(port: number, durationMs: number): Promise<readonly Order[]> {
	const orders: Array<Promise<Order>> = [];
	const end = performance.now() + durationMs;
	while (performance.now() < end) {
		orders.push(sendOrder(port, orders.length));
		await pause(ORDER_INTERVAL_MS);
	}

	return Promise.all(orders);
}

async function sendOrder(port: number, index: number): Promise<Order> {
	const startedAt = performance.now();
	let status = 0;
	try {
		const res = await request(`http://127.0.0.1:${port}/order/x`, {
			method: 'POST', headers: {host: 'desk.example', 'fireflyport-attempt-id': `order-${index}`, 'fireflyport-deadline-ms': String(ORDER_DEADLINE_MS)}, headersTimeout: 2 * ORDER_DEADLINE_MS,
		});
		await res.body.dump();
		status = res.statusCode;
	} catch {
		// Counted as a failed order by its status.
	}

	return {status, ms: performance.now() - startedAt};
}
