/** Runs one soak test: real daemon processes under load and faults, then the invariant checks on what callers and backend servers observed. */
import {request} from 'undici';
import {monotonicMs} from '../../src/util/clock.js';
import {pause} from '../../src/util/pause.js';
import {chooseWeighted} from '../../src/util/weighted-choice.js';
import {createRandom} from '../load/arrivals.js';
import type {InjectedFault} from '../stand-ins/platform/platform-server-stand-in.js';
import {
	planFaults, type Fault, type OddEntry, type PathMode, type ServerFault,
} from './fault-plan.js';
import type {FaultProxy, ProxyMode} from './fault-proxy.js';
import {
	checkObservations, describeUnanswered, unansweredRequests, type CallKind, type SoakObservations, type RouteProbe, type ObservedRequest, type TimeSpan, type Violation,
} from './soak-observations.js';
import {SoakCaller} from './soak-caller.js';
import {
	RETRY_BUDGET_RATIO, RETRY_BUDGET_SLACK, STOP_GRACE_MS, type SoakDaemon,
} from './soak-daemon.js';
import {
	DEADLY_BODY, EVENTS_PER_STREAM, SoakFleet, type SoakServer,
} from './soak-fleet.js';

const CALLER_COUNT = 12;
const MEAN_CALL_PAUSE_MS = 25;
const READY_POLL_MS = 200;
const PROBE_INTERVAL_MS = 400;
const START_TIMEOUT_MS = 15_000;
/** Time after the last fault before requests have to be served again. The strictest deployment allows 12 s. */
const RECOVERY_TIMEOUT_MS = 6000;
const RECOVERY_CHECK_MS = 2500;
/** Time after the last request by which memory has to be free: the 3.5 s lease of a reservation that a killed daemon held, and a margin. */
const MEMORY_RELEASE_TIMEOUT_MS = 4500;
/** Time in ms after which operators and servers have written again what a restored store lacks. */
const REWRITE_MS = 500;
/** Time that a draining server keeps serving before its registration is removed; also the expiry of a crashed server's registration. */
const DRAINING_MS = 3500;
const PATH_DELAY_MS = 120;
/** Pause in ms between two repetitions of a request that crashes servers. */
const DEADLY_INTERVAL_MS = 150;
const LARGE_PROMPT_SHARE = 0.04;
/** Request kinds and their shares. */
const requestMix: ReadonlyArray<readonly [CallKind, number]> = [['idempotent', 0.35], ['non_idempotent', 0.3], ['stream', 0.25], ['stream_once', 0.1]];

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

export type SoakReport = {readonly violations: readonly Violation[]; readonly summary: string; readonly faultLog: readonly string[]};

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
	readonly #requests: ObservedRequest[] = [];
	readonly #probes: RouteProbe[] = [];
	readonly #versions: Array<{readonly version: number; readonly at: number}> = [];
	readonly #departures: Array<{readonly server: string; readonly at: number}> = [];
	readonly #faultSpans: TimeSpan[] = [];
	readonly #plannedStops: Array<TimeSpan & {readonly daemon: string}> = [];
	readonly #faultLog: string[] = [];
	readonly #readyDaemons = new Set<SoakDaemon>();
	/** Kills and suspensions of daemons. */
	readonly #daemonFaults: Array<TimeSpan & {readonly daemon: string}> = [];
	readonly #deadlyRequests: ObservedRequest[] = [];
	#activeFaults = 0;
	#isFinished = false;

	constructor(private readonly options: SoakOptions, private readonly fleet: SoakFleet) {}

	async run(): Promise<SoakReport> {
		const {fleet, options: {seed, durationMs}} = this;
		this.#storeConfiguration();
		fleet.onCrash = server => {
			this.#logFault(`${server.standIn.instance} crashed on a request`);
			this.#runFault(async () => this.#crash(server), {isDeadly: true});
		};

		for (const daemon of fleet.daemons) {
			daemon.start();
		}

		const readinessPolling = this.#pollReadiness();
		await this.#waitUntilAllReady();
		const callers = Array.from({length: CALLER_COUNT}, async (_, index) => this.#runCaller(index));
		const probing = this.#runProbes();
		const startedAt = this.#now();
		for (const {at, fault} of planFaults(seed, durationMs)) {
			await pause(startedAt + at - this.#now());
			this.#inject(fault);
		}

		await pause(startedAt + durationMs - this.#now());
		while (this.#activeFaults > 0) {
			await pause(50);
		}

		await pause(RECOVERY_TIMEOUT_MS);
		const recovery = {from: this.#now(), to: this.#now() + RECOVERY_CHECK_MS};
		await pause(RECOVERY_CHECK_MS);
		this.#isFinished = true;
		await Promise.all([...callers, probing, readinessPolling]);
		await pause(MEMORY_RELEASE_TIMEOUT_MS);
		return this.#report(recovery);
	}

	#now(): number {
		return monotonicMs() - this.#startedAt;
	}

	#logFault(text: string): void {
		const line = `${String(Math.round(this.#now())).padStart(7)} ms  ${text}`;
		this.#faultLog.push(line);
		this.options.log(line);
	}

	#report(recovery: TimeSpan): SoakReport {
		const arrivals = this.fleet.allServers.flatMap(({standIn}) => standIn.arrivals.map(({headers, at, hasRun}) => ({
			id: String(headers['fireflyport-attempt-id']), server: standIn.instance, at: at - this.#startedAt, hasRun,
		})));
		const observations: SoakObservations = {
			requests: this.#requests,
			deadlyRequests: this.#deadlyRequests,
			daemonFaults: this.#daemonFaults,
			ownExits: this.fleet.daemons.flatMap(({options, ownExits}) => ownExits.map(exit => ({daemon: options.name, ...exit}))),
			arrivals,
			readIds: new Set(this.fleet.daemons.flatMap(daemon => daemon.loggedRequests())),
			probes: this.#probes,
			versions: this.#versions,
			departures: this.#departures,
			faultSpans: this.#faultSpans,
			plannedStops: this.#plannedStops,
			reservedAtEnd: this.fleet.allServers.reduce((sum, {standIn}) => sum + standIn.reserved.size, 0),
			recovery,
			eventsPerStream: EVENTS_PER_STREAM,
			stopGraceMs: STOP_GRACE_MS,
		};
		const served = this.#requests.filter(({status, isComplete}) => status === 200 && isComplete).length;
		return {
			violations: checkObservations(observations, {share: RETRY_BUDGET_RATIO, slack: RETRY_BUDGET_SLACK}),
			summary: [
				`${this.#requests.length} requests`,
				`${served} served`,
				`${arrivals.length} arrivals at backend servers`,
				`${this.#faultLog.length} faults`,
				`${this.#probes.length} probes`,
				describeUnanswered(unansweredRequests(observations)),
			].join(', '),
			faultLog: this.#faultLog,
		};
	}

	async #waitUntilAllReady(): Promise<void> {
		const until = this.#now() + START_TIMEOUT_MS;
		while (this.#readyDaemons.size < this.fleet.daemons.length) {
			if (this.#now() > until) {
				throw new Error(`${this.#readyDaemons.size} of ${this.fleet.daemons.length} daemons became ready in ${START_TIMEOUT_MS} ms`);
			}

			await pause(READY_POLL_MS);
		}
	}

	/** Polls which daemons are ready for new connections, as a load balancer does. */
	async #pollReadiness(): Promise<void> {
		while (!this.#isFinished) {
			await Promise.all(this.fleet.daemons.map(async daemon => {
				try {
					const {statusCode, body} = await request(daemon.readyUrl, {signal: AbortSignal.timeout(READY_POLL_MS)});
					await body.dump();
					if (statusCode === 200) {
						this.#readyDaemons.add(daemon);
					} else {
						this.#readyDaemons.delete(daemon);
					}
				} catch {
					// A daemon that does not answer gets no new connections.
					this.#readyDaemons.delete(daemon);
				}
			}));
			await pause(READY_POLL_MS);
		}
	}

	async #runCaller(index: number): Promise<void> {
		const random = createRandom(this.options.seed + index + 1);
		const caller = SoakCaller.create(`c${index}`);
		let daemon: SoakDaemon | undefined;
		while (!this.#isFinished) {
			const ready = [...this.#readyDaemons];
			// A caller keeps its connection until the daemon stops; before a tenth of the requests it picks a daemon again.
			if (!daemon?.isRunning || random() < 0.1) {
				daemon = ready[Math.floor(random() * ready.length)];
			}

			if (daemon) {
				const [kind] = chooseWeighted(requestMix, ([, share]) => share, random())!;
				this.#requests.push(await caller.send(daemon, {kind, isLarge: random() < LARGE_PROMPT_SHARE}, () => this.#now()));
			}

			await pause(MEAN_CALL_PAUSE_MS * 2 * random());
		}

		await caller.close();
	}

	/** Requests the routes of the two newest configuration versions from each daemon. */
	async #runProbes(): Promise<void> {
		const callers = this.fleet.daemons.map((_, index) => SoakCaller.create(`p${index}`));
		while (!this.#isFinished) {
			const newest = this.#versions.length;
			await Promise.all(this.fleet.daemons.map(async (daemon, index) => {
				for (const version of [newest - 1, newest].filter(candidate => candidate > 0)) {
					const at = this.#now();
					const {incarnation} = daemon;
					const isServed = await callers[index]!.probe(daemon, version);
					if (isServed !== undefined && incarnation === daemon.incarnation) {
						this.#probes.push({
							daemon: daemon.options.name, incarnation, at, version, isServed,
						});
					}
				}
			}));
			await pause(PROBE_INTERVAL_MS);
		}

		await Promise.all(callers.map(async caller => caller.close()));
	}

	#storeConfiguration(): void {
		const version = this.#versions.length + 1;
		this.fleet.configure(version);
		this.#versions.push({version, at: this.#now()});
	}

	#targetOf(fault: Fault): {readonly daemon?: SoakDaemon; readonly server?: SoakServer} {
		const {daemons, servers} = this.fleet;
		return {
			...('daemon' in fault ? {daemon: daemons[fault.daemon % daemons.length]!} : {}),
			...('server' in fault ? {server: servers[fault.server % servers.length]!} : {}),
		};
	}

	#inject(fault: Fault): void {
		const {fleet} = this;
		const {daemon, server} = this.#targetOf(fault);
		this.#logFault(describeFault(fault, daemon?.options.name ?? server?.standIn.instance));
		switch (fault.kind) {
			case 'kill': {
				this.#runDaemonFault(daemon!, async () => {
					await daemon!.kill();
					await pause(fault.ms);
					daemon!.start();
					await this.#waitUntilReady(daemon!);
				});
				break;
			}

			case 'pause': {
				this.#runDaemonFault(daemon!, async () => {
					daemon!.setPaused(true);
					await pause(fault.ms);
					daemon!.setPaused(false);
				});
				break;
			}

			case 'store': {
				this.#runFault(async () => {
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

			case 'restore': {
				this.#runFault(async () => {
					const copy = fleet.store.copy();
					await pause(fault.ageMs);
					fleet.store.setMode('reset');
					await pause(fault.ms);
					fleet.store.restore(copy);
					fleet.store.setMode('serving');
					await pause(REWRITE_MS);
					fleet.rewrite(this.#versions.length);
				});
				break;
			}

			case 'store_path': {
				this.#runFault(async () => applyPathFault(daemon!.options.storeProxy, fault.mode, fault.ms));
				break;
			}

			case 'server_path': {
				this.#runFault(async () => applyPathFault(server!.proxy, fault.mode, fault.ms));
				break;
			}

			case 'server_fault': {
				this.#runFault(async () => {
					server!.standIn.injectFaults(disturbanceFor(fault.fault));
				});
				break;
			}

			case 'crash': {
				this.#runFault(async () => this.#crash(server!));
				break;
			}

			case 'stop': {
				void this.#track(async () => this.#restart(daemon!));
				break;
			}

			case 'leave': {
				void this.#track(async () => this.#drain(server!));
				break;
			}

			case 'configure': {
				void this.#track(async () => this.#storeConfigurations(fault.versions, fault.intervalMs));
				break;
			}

			case 'silence': {
				void this.#track(async () => holdBack(server!.proxy, fault.ms));
				break;
			}

			case 'odd_entry': {
				void this.#track(async () => this.#leaveOddEntry(fault.entry));
				break;
			}

			case 'deadly': {
				void this.#track(async () => this.#sendDeadly(fault.ms));
				break;
			}
		}
	}

	async #storeConfigurations(versions: number, intervalMs: number): Promise<void> {
		for (let count = 0; count < versions; count++) {
			this.#storeConfiguration();
			await pause(intervalMs);
		}
	}

	async #leaveOddEntry(entry: OddEntry): Promise<void> {
		const {fleet} = this;
		const name = fleet.registerOddEntry(entry);
		await pause(DRAINING_MS);
		fleet.store.remove('servers', name);
	}

	async #track(action: () => Promise<void>): Promise<void> {
		this.#activeFaults++;
		try {
			await action();
		} finally {
			this.#activeFaults--;
		}
	}

	/** Runs an unplanned fault and records its time span, starting now. */
	#runFault(action: () => Promise<void>, marks: Pick<TimeSpan, 'isDeadly'> = {}): void {
		const from = this.#now();
		const span = {from, to: Infinity, ...marks};
		this.#faultSpans.push(span);
		void this.#track(async () => {
			await action();
			this.#faultSpans[this.#faultSpans.indexOf(span)] = {...span, to: this.#now()};
		});
	}

	#runDaemonFault(daemon: SoakDaemon, action: () => Promise<void>): void {
		const span = {daemon: daemon.options.name, from: this.#now(), to: Infinity};
		this.#daemonFaults.push(span);
		this.#runFault(async () => {
			await action();
			this.#daemonFaults[this.#daemonFaults.indexOf(span)] = {...span, to: this.#now()};
		});
	}

	/** Sends the same request, which crashes each server that runs it, to one ready daemon after the other. */
	async #sendDeadly(ms: number): Promise<void> {
		const caller = SoakCaller.create('deadly');
		const until = this.#now() + ms;
		for (let count = 0; this.#now() < until; count++) {
			const ready = [...this.#readyDaemons];
			const daemon = ready[count % ready.length];
			if (daemon) {
				this.#deadlyRequests.push(await caller.send(daemon, {kind: 'idempotent', isLarge: false, body: DEADLY_BODY}, () => this.#now()));
			}

			await pause(DEADLY_INTERVAL_MS);
		}

		await caller.close();
	}

	async #waitUntilReady(daemon: SoakDaemon): Promise<void> {
		const until = this.#now() + START_TIMEOUT_MS;
		while (!this.#readyDaemons.has(daemon) && this.#now() < until) {
			await pause(READY_POLL_MS);
		}
	}

	async #restart(daemon: SoakDaemon): Promise<void> {
		if (!daemon.isRunning) {
			return;
		}

		const stop = {daemon: daemon.options.name, from: this.#now(), to: Infinity};
		this.#plannedStops.push(stop);
		await daemon.stop();
		this.#plannedStops[this.#plannedStops.indexOf(stop)] = {...stop, to: this.#now()};
		daemon.start();
		await this.#waitUntilReady(daemon);
	}

	/** Drains a server and adds a new one of the same service and failure domain. */
	async #drain(server: SoakServer): Promise<void> {
		const {fleet} = this;
		if (server.isDraining) {
			return;
		}

		server.isDraining = true;
		fleet.servers.splice(fleet.servers.indexOf(server), 1);
		await fleet.addServer(server.service, server.failureDomain);
		fleet.register(server);
		this.#departures.push({server: server.standIn.instance, at: this.#now()});
		await pause(DRAINING_MS);
		fleet.unregister(server);
	}

	/** Closes the connections of a server without notice and adds a new one; its registration is removed later, as on expiry. */
	async #crash(server: SoakServer): Promise<void> {
		const {fleet} = this;
		if (server.hasLeft) {
			return;
		}

		server.isDraining = true;
		server.hasLeft = true;
		if (fleet.servers.includes(server)) {
			fleet.servers.splice(fleet.servers.indexOf(server), 1);
			await fleet.addServer(server.service, server.failureDomain);
		}

		await server.proxy.close();
		await pause(DRAINING_MS);
		fleet.unregister(server);
	}
}

function describeFault(fault: Fault, target: string | undefined): string {
	const details = Object.entries(fault).filter(([name]) => name !== 'daemon' && name !== 'server').map(([, value]) => String(value));
	return [target, ...details].filter(part => part !== undefined).join(' ');
}

async function holdBack(proxy: FaultProxy, ms: number): Promise<void> {
	proxy.setMode({kind: 'hold', until: performance.now() + ms});
	await pause(ms);
	proxy.setMode({kind: 'pass'});
}

async function applyPathFault(proxy: FaultProxy, mode: PathMode, ms: number): Promise<void> {
	if (mode === 'reset') {
		proxy.resetConnections();
		return;
	}

	const faultMode: ProxyMode = mode === 'delay' ? {kind: 'delay', ms: PATH_DELAY_MS} : {kind: mode};
	proxy.setMode(faultMode);
	await pause(ms);
	proxy.setMode({kind: 'pass'});
}

function disturbanceFor(fault: ServerFault): InjectedFault {
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
