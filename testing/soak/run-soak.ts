/** Runs one soak test: real daemon processes under load and faults, then the invariant checks on what callers and backend servers observed. */
import {request} from 'undici';
import {monotonicMs} from '../../src/util/clock.js';
import {pause} from '../../src/util/pause.js';
import {chooseWeighted} from '../../src/util/weighted-choice.js';
import {createRandom} from '../load/arrivals.js';
import type {Disturbance} from '../stand-ins/platform/runner-stand-in.js';
import {
	planFaults, type Fault, type PathMode, type ServerFault,
} from './fault-plan.js';
import type {FaultProxy, ProxyMode} from './fault-proxy.js';
import {
	checkLedger, type CallKind, type Ledger, type Probed, type Seen, type Span, type Violation,
} from './ledger.js';
import {SoakCaller} from './soak-caller.js';
import {RETRY_SHARE, RETRY_SLACK, type SoakDaemon} from './soak-daemon.js';
import {EVENTS_PER_STREAM, SoakFleet, type SoakServer} from './soak-fleet.js';

const CALLERS = 12;
const CALL_PAUSE_MS = 25;
const READY_CHECK_MS = 200;
const PROBE_MS = 400;
const START_TIMEOUT_MS = 15_000;
/** Time after the last fault before requests have to be served again. The strictest deployment allows 12 s. */
const RECOVERY_MS = 6000;
const RECOVERY_CHECK_MS = 2500;
/** Time after the last request by which memory has to be free: the 3.5 s lease of a reservation that a killed daemon held, and a margin. */
const FREE_MS = 4500;
/** Time that a draining server keeps serving before its registration is removed; also the expiry of a crashed server's registration. */
const LINGER_MS = 3500;
const DELAY_MS = 120;
const LARGE_SHARE = 0.04;
/** Request kinds and their shares. */
const mix: ReadonlyArray<readonly [CallKind, number]> = [['idempotent', 0.35], ['non_idempotent', 0.3], ['stream', 0.25], ['stream_once', 0.1]];

export type SoakOptions = {
	readonly seed: number;
	readonly durationMs: number;
	readonly daemons: number;
	/** Path of the bundled daemon program. */
	readonly program: string;
	/** Folder for logs of the daemons. */
	readonly folder: string;
	readonly log: (line: string) => void;
};

export type SoakReport = {readonly violations: readonly Violation[]; readonly summary: string; readonly events: readonly string[]};

export async function runSoak(options: SoakOptions): Promise<SoakReport> {
	const fleet = await SoakFleet.create(options);
	const soak = new Soak(options, fleet);
	try {
		return await soak.run();
	} finally {
		await fleet.close();
	}
}

class Soak {
	readonly #startedAt = monotonicMs();
	readonly #seen: Seen[] = [];
	readonly #probed: Probed[] = [];
	readonly #versions: Array<{readonly version: number; readonly at: number}> = [];
	readonly #left: Array<{readonly server: string; readonly at: number}> = [];
	readonly #disturbed: Span[] = [];
	readonly #stopped: Array<Span & {readonly daemon: string}> = [];
	readonly #events: string[] = [];
	readonly #ready = new Set<SoakDaemon>();
	#running = 0;
	#isOver = false;

	constructor(private readonly options: SoakOptions, private readonly fleet: SoakFleet) {}

	async run(): Promise<SoakReport> {
		const {fleet, options: {seed, durationMs}} = this;
		this.#configure();
		for (const daemon of fleet.daemons) {
			daemon.start();
		}

		const watching = this.#watchReady();
		await this.#untilAllReady();
		const callers = Array.from({length: CALLERS}, async (_, index) => this.#call(index));
		const probing = this.#probe();
		const startedAt = this.#now();
		for (const {at, fault} of planFaults(seed, durationMs)) {
			await pause(startedAt + at - this.#now());
			this.#perform(fault);
		}

		await pause(startedAt + durationMs - this.#now());
		while (this.#running > 0) {
			await pause(50);
		}

		await pause(RECOVERY_MS);
		const recovery = {from: this.#now(), to: this.#now() + RECOVERY_CHECK_MS};
		await pause(RECOVERY_CHECK_MS);
		this.#isOver = true;
		await Promise.all([...callers, probing, watching]);
		await pause(FREE_MS);
		return this.#report(recovery);
	}

	#now(): number {
		return monotonicMs() - this.#startedAt;
	}

	#note(text: string): void {
		const line = `${String(Math.round(this.#now())).padStart(7)} ms  ${text}`;
		this.#events.push(line);
		this.options.log(line);
	}

	#report(recovery: Span): SoakReport {
		const arrived = this.fleet.everyServer.flatMap(({runner}) => runner.arrivals.map(({headers, at, hasRun}) => ({
			id: String(headers['fireflyport-attempt-id']), server: runner.instance, at: at - this.#startedAt, hasRun,
		})));
		const ledger: Ledger = {
			seen: this.#seen,
			arrived,
			probed: this.#probed,
			versions: this.#versions,
			left: this.#left,
			disturbed: this.#disturbed,
			stopped: this.#stopped,
			reservedAtEnd: this.fleet.everyServer.reduce((sum, {runner}) => sum + runner.reserved.size, 0),
			recovery,
			events: EVENTS_PER_STREAM,
		};
		const served = this.#seen.filter(({status, isComplete}) => status === 200 && isComplete).length;
		return {
			violations: checkLedger(ledger, {share: RETRY_SHARE, slack: RETRY_SLACK}),
			summary: `${this.#seen.length} requests, ${served} served, ${arrived.length} arrivals at backend servers, ${this.#events.length} faults, ${this.#probed.length} probes`,
			events: this.#events,
		};
	}

	async #untilAllReady(): Promise<void> {
		const until = this.#now() + START_TIMEOUT_MS;
		while (this.#ready.size < this.fleet.daemons.length) {
			if (this.#now() > until) {
				throw new Error(`${this.#ready.size} of ${this.fleet.daemons.length} daemons became ready in ${START_TIMEOUT_MS} ms`);
			}

			await pause(READY_CHECK_MS);
		}
	}

	/** Polls which daemons are ready for new connections, as a load balancer does. */
	async #watchReady(): Promise<void> {
		while (!this.#isOver) {
			await Promise.all(this.fleet.daemons.map(async daemon => {
				try {
					const {statusCode, body} = await request(daemon.readyUrl, {signal: AbortSignal.timeout(READY_CHECK_MS)});
					await body.dump();
					if (statusCode === 200) {
						this.#ready.add(daemon);
					} else {
						this.#ready.delete(daemon);
					}
				} catch {
					// A daemon that does not answer gets no new connections.
					this.#ready.delete(daemon);
				}
			}));
			await pause(READY_CHECK_MS);
		}
	}

	async #call(index: number): Promise<void> {
		const random = createRandom(this.options.seed + index + 1);
		const caller = SoakCaller.create(`c${index}`);
		let daemon: SoakDaemon | undefined;
		while (!this.#isOver) {
			const ready = [...this.#ready];
			// A caller keeps its connection until the daemon stops; before a tenth of the requests it picks a daemon again.
			if (!daemon?.isRunning || random() < 0.1) {
				daemon = ready[Math.floor(random() * ready.length)];
			}

			if (daemon) {
				const [kind] = chooseWeighted(mix, ([, share]) => share, random())!;
				this.#seen.push(await caller.send(daemon, kind, random() < LARGE_SHARE, () => this.#now()));
			}

			await pause(CALL_PAUSE_MS * 2 * random());
		}

		await caller.close();
	}

	/** Requests the routes of the two newest configuration versions from each daemon. */
	async #probe(): Promise<void> {
		const callers = this.fleet.daemons.map((_, index) => SoakCaller.create(`p${index}`));
		while (!this.#isOver) {
			const newest = this.#versions.length;
			await Promise.all(this.fleet.daemons.map(async (daemon, index) => {
				for (const version of [newest - 1, newest].filter(candidate => candidate > 0)) {
					const at = this.#now();
					const {incarnation} = daemon;
					const isKnown = await callers[index]!.probe(daemon, version);
					if (isKnown !== undefined && incarnation === daemon.incarnation) {
						this.#probed.push({
							daemon: daemon.options.name, incarnation, at, version, isKnown,
						});
					}
				}
			}));
			await pause(PROBE_MS);
		}

		await Promise.all(callers.map(async caller => caller.close()));
	}

	#configure(): void {
		const version = this.#versions.length + 1;
		this.fleet.configure(version);
		this.#versions.push({version, at: this.#now()});
	}

	#perform(fault: Fault): void {
		const {fleet} = this;
		const daemon = 'daemon' in fault ? fleet.daemons[fault.daemon % fleet.daemons.length]! : undefined;
		const server = 'server' in fault ? fleet.servers[fault.server % fleet.servers.length]! : undefined;
		this.#note(describeFault(fault, daemon?.options.name ?? server?.runner.instance));
		switch (fault.kind) {
			case 'kill': {
				this.#disturb(async () => {
					await daemon!.kill();
					await pause(fault.ms);
					daemon!.start();
					await this.#untilReady(daemon!);
				});
				break;
			}

			case 'pause': {
				this.#disturb(async () => {
					daemon!.pause(true);
					await pause(fault.ms);
					daemon!.pause(false);
				});
				break;
			}

			case 'store': {
				this.#disturb(async () => {
					fleet.store.setMode(fault.mode);
					await pause(fault.ms);
					fleet.store.setMode('serving');
				});
				break;
			}

			case 'compact': {
				fleet.store.compact();
				break;
			}

			case 'store_path': {
				this.#disturb(async () => disturbPath(daemon!.options.storePath, fault.mode, fault.ms));
				break;
			}

			case 'server_path': {
				this.#disturb(async () => disturbPath(server!.proxy, fault.mode, fault.ms));
				break;
			}

			case 'server_fault': {
				this.#disturb(async () => {
					server!.runner.disturb(disturbanceOf(fault.fault));
				});
				break;
			}

			case 'crash': {
				this.#disturb(async () => this.#crash(server!));
				break;
			}

			case 'stop': {
				void this.#track(async () => this.#stop(daemon!));
				break;
			}

			case 'leave': {
				void this.#track(async () => this.#leave(server!));
				break;
			}

			case 'configure': {
				this.#configure();
				break;
			}
		}
	}

	async #track(action: () => Promise<void>): Promise<void> {
		this.#running++;
		try {
			await action();
		} finally {
			this.#running--;
		}
	}

	/** Runs an unplanned fault and records its time span, starting now. */
	#disturb(action: () => Promise<void>): void {
		const from = this.#now();
		const open = {from, to: Infinity};
		this.#disturbed.push(open);
		void this.#track(async () => {
			await action();
			this.#disturbed[this.#disturbed.indexOf(open)] = {from, to: this.#now()};
		});
	}

	async #untilReady(daemon: SoakDaemon): Promise<void> {
		const until = this.#now() + START_TIMEOUT_MS;
		while (!this.#ready.has(daemon) && this.#now() < until) {
			await pause(READY_CHECK_MS);
		}
	}

	async #stop(daemon: SoakDaemon): Promise<void> {
		if (!daemon.isRunning) {
			return;
		}

		const stop = {daemon: daemon.options.name, from: this.#now(), to: Infinity};
		this.#stopped.push(stop);
		await daemon.stop();
		this.#stopped[this.#stopped.indexOf(stop)] = {...stop, to: this.#now()};
		daemon.start();
		await this.#untilReady(daemon);
	}

	/** Drains a server and adds a new one of the same service and failure domain. */
	async #leave(server: SoakServer): Promise<void> {
		const {fleet} = this;
		if (server.isLeaving) {
			return;
		}

		server.isLeaving = true;
		fleet.servers.splice(fleet.servers.indexOf(server), 1);
		await fleet.addServer(server.service, server.failureDomain);
		fleet.register(server);
		this.#left.push({server: server.runner.instance, at: this.#now()});
		await pause(LINGER_MS);
		fleet.store.remove('servers', server.runner.instance);
	}

	/** Closes the connections of a server without notice and adds a new one; its registration is removed later, as on expiry. */
	async #crash(server: SoakServer): Promise<void> {
		const {fleet} = this;
		if (server.isLeaving) {
			return;
		}

		server.isLeaving = true;
		fleet.servers.splice(fleet.servers.indexOf(server), 1);
		await fleet.addServer(server.service, server.failureDomain);
		await server.proxy.close();
		await pause(LINGER_MS);
		fleet.store.remove('servers', server.runner.instance);
	}
}

function describeFault(fault: Fault, target: string | undefined): string {
	const details = Object.entries(fault).filter(([name]) => name !== 'daemon' && name !== 'server').map(([, value]) => String(value));
	return [target, ...details].filter(part => part !== undefined).join(' ');
}

async function disturbPath(proxy: FaultProxy, mode: PathMode, ms: number): Promise<void> {
	if (mode === 'reset') {
		proxy.resetConnections();
		return;
	}

	const disturbed: ProxyMode = mode === 'delay' ? {kind: 'delay', ms: DELAY_MS} : {kind: mode};
	proxy.setMode(disturbed);
	await pause(ms);
	proxy.setMode({kind: 'pass'});
}

function disturbanceOf(fault: ServerFault): Disturbance {
	switch (fault) {
		case 'break': {
			return {kind: fault, events: 2, bytes: 5};
		}

		case 'reset': {
			return {kind: fault, isChunked: true};
		}

		case 'mute': {
			return {kind: fault, events: 1};
		}

		case 'error': {
			return {kind: fault, status: 500};
		}

		case 'reject': {
			return {kind: fault, status: 503};
		}

		case 'foreign':
		case 'unsigned': {
			return {kind: fault};
		}
	}
}
