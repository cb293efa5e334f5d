import {vi} from 'vitest';
import type {BackendProbe} from '../../src/capacity/backend-probe.js';
import {PoolCoordinator} from '../../src/capacity/pool-coordinator.js';
import {MemberRegistry} from '../../src/membership/member-registry.js';
import {RegionDirectory} from '../../src/membership/region-directory.js';
import type {GrantedServer, KeepAlive, Sender} from '../../src/peer/protocol.js';
import {monotonicMs} from '../../src/util/clock.js';
import {
	configurationFixture, configurationOf, modelService, requestOf, silentLogger,
} from './capacity-fixtures.js';
import {hostsOf, POOL} from './daemon-fixture.js';
import {type Fault, MemoryObjects} from './memory-object-api.js';

type Running = {readonly promptTokens: number; readonly kvTokens: number; prefilled: boolean};

/** One engine that checks at each arrival that it can bear it, and counts what it cannot. */
export class StrictEngine implements BackendProbe {
	warm = true;
	readonly violations: string[] = [];
	#boot = 1;
	readonly #running = new Map<string, Running>();
	#snapshot = {
		takenAtMs: monotonicMs(), boot: 'b1', warm: true, runningRequests: 0, pendingPrefillTokens: 0,
	};

	turnCold(): void {
		this.#boot++;
		this.warm = false;
		this.#running.clear();
	}

	/** Load reports show the state at the last call. */
	report(): void {
		this.#snapshot = {
			takenAtMs: monotonicMs(), boot: this.boot, warm: this.warm, runningRequests: this.#running.size, pendingPrefillTokens: this.#pending(),
		};
	}

	get boot(): string {
		return `b${this.#boot}`;
	}

	accept(id: string, promptTokens: number, kvTokens: number): void {
		this.#running.set(id, {promptTokens, kvTokens, prefilled: false});
		const limit = this.warm ? modelService.warm : modelService.cold;
		const kv = [...this.#running.values()].reduce((sum, running) => sum + running.kvTokens, 0);
		if (this.#running.size > limit.requests || this.#pending() > limit.prefillTokens || kv > modelService.kvTokens) {
			this.violations.push(`${this.#running.size} requests, ${this.#pending()} prefill and ${kv} KV tokens on a ${this.warm ? 'warm' : 'cold'} engine`);
		}
	}

	prefill(id: string): void {
		const running = this.#running.get(id);
		if (running) {
			running.prefilled = true;
		}
	}

	finish(id: string): void {
		this.#running.delete(id);
	}

	async health() {
		return {boot: this.boot, warm: this.warm};
	}

	async load() {
		return {...this.#snapshot, ageMs: monotonicMs() - this.#snapshot.takenAtMs};
	}

	async listing() {
		const streams = [...this.#running].map(([id, {promptTokens, kvTokens, prefilled}]) => ({
			id, promptTokens, kvTokens, state: prefilled ? 'decode' as const : 'prefill' as const, ageMs: 0, remainingMs: 1000,
		}));
		return {
			boot: this.boot, warm: this.warm, streams, segments: [],
		};
	}

	async cancel(_target: unknown, id: string): Promise<void> {
		this.finish(id);
	}

	async freeSegment(): Promise<void> {
		// No segments.
	}

	#pending(): number {
		return [...this.#running.values()].reduce((sum, running) => sum + (running.prefilled ? 0 : running.promptTokens), 0);
	}
}

type Daemon = {
	readonly sender: Sender;
	readonly objects: {fault: Fault};
	readonly coordinator: PoolCoordinator;
	close(): Promise<void>;
};

type Granted = {
	readonly id: string;
	readonly daemon: number;
	readonly epoch: number;
	readonly promptTokens: number;
	readonly server: GrantedServer;
	readonly validUntilMs: number;
	state: 'granted' | 'acknowledged' | 'prefilled';
};

/** Two daemons that may coordinate the same pool, with one engine, on fake timers. */
export class PoolWorld {
	static async create(): Promise<PoolWorld> {
		const world = new PoolWorld();
		world.#daemons = [await world.#start(0, 1), await world.#start(1, 1)];
		world.#timers = [setInterval(() => {
			world.#keepAlive();
		}, 1000), setInterval(() => {
			world.engine.report();
		}, 300)];
		return world;
	}

	readonly engine = new StrictEngine();
	readonly granted = new Map<string, Granted>();
	peersConnected = true;
	readonly #store = new MemoryObjects();
	#daemons: Daemon[] = [];
	#timers: NodeJS.Timeout[] = [];
	#sequence = 0;
	#incarnation = 1;

	/** Largest epoch of the lease so far. */
	get epoch(): number {
		return (this.#store.objects.get(`pools/${POOL}`)?.value as {epoch?: number} | undefined)?.epoch ?? 0;
	}

	/** Index of the daemon that the lease names. */
	get owner(): number {
		return (this.#store.objects.get(`pools/${POOL}`)?.value as {owner?: string} | undefined)?.owner === 'd1' ? 1 : 0;
	}

	async advance(ms: number): Promise<void> {
		await vi.advanceTimersByTimeAsync(ms);
	}

	setFault(index: number, fault: Fault): void {
		this.#daemons[index]!.objects.fault = fault;
	}

	/** The process ends without notice and starts again. What it received is abandoned. */
	async restart(index: number): Promise<void> {
		await this.#daemons[index]!.close();
		for (const [id, granted] of this.granted) {
			if (granted.daemon === index) {
				this.granted.delete(id);
			}
		}

		this.#incarnation++;
		this.#daemons[index] = await this.#start(index, this.#incarnation);
	}

	/** Asks the daemon's own coordinator for capacity. */
	reserve(index: number, promptTokens: number): void {
		const {coordinator, sender} = this.#daemons[index]!;
		const askedAtMs = monotonicMs();
		const id = `${sender.id}.${sender.incarnation}.${++this.#sequence}`;
		const answered = async (): Promise<void> => {
			const answer = await coordinator.reserve({...requestOf(id, {promptTokens, remainingMs: 2000}), sender});
			if (answer.kind === 'granted') {
				this.granted.set(id, {
					id, daemon: index, epoch: answer.epoch, promptTokens, server: answer.servers[0]!, validUntilMs: askedAtMs + answer.validForMs, state: 'granted',
				});
			}
		};

		void answered();
	}

	/** Asks `times` times, and sends and prefills at once what is granted. */
	async fill(index: number, times: number): Promise<void> {
		for (let time = 0; time < times; time++) {
			this.reserve(index, 500);
			await this.advance(20);
			for (const id of this.granted.keys()) {
				this.deliver(id);
				this.prefill(id);
			}
		}
	}

	/** Sends what was granted, unless the grant is void, and acknowledges. */
	deliver(id: string): void {
		const granted = this.granted.get(id);
		if (granted?.state !== 'granted') {
			return;
		}

		if (monotonicMs() >= granted.validUntilMs) {
			this.release(id);
			return;
		}

		this.engine.accept(id, granted.promptTokens, granted.promptTokens + 100);
		granted.state = 'acknowledged';
		this.#coordinatorFor(granted)?.acknowledge({
			sender: this.#daemons[granted.daemon]!.sender, pool: POOL, id, server: granted.server.id, boot: this.engine.boot, warm: this.engine.warm,
		});
	}

	prefill(id: string): void {
		const granted = this.granted.get(id);
		if (granted?.state === 'acknowledged') {
			granted.state = 'prefilled';
			this.engine.prefill(id);
		}
	}

	release(id: string): void {
		const granted = this.granted.get(id);
		if (granted) {
			this.granted.delete(id);
			this.engine.finish(id);
			this.#coordinatorFor(granted)?.release({
				sender: this.#daemons[granted.daemon]!.sender, pool: POOL, id, outcome: 'finished',
			});
		}
	}

	/** Requests that may still be sent and that the engine has not accepted. */
	unacknowledged(): readonly Granted[] {
		return [...this.granted.values()].filter(granted => granted.state === 'granted' && monotonicMs() < granted.validUntilMs);
	}

	async close(): Promise<void> {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		await Promise.all(this.#daemons.map(async daemon => daemon.close()));
	}

	/** The daemon's own coordinator, or the other one when it can be reached. */
	#coordinatorFor({daemon}: Granted): PoolCoordinator | undefined {
		const candidates = this.peersConnected ? [this.#daemons[daemon]!, this.#daemons[1 - daemon]!] : [this.#daemons[daemon]!];
		return candidates.map(({coordinator}) => coordinator).find(coordinator => coordinator.coordinates);
	}

	#keepAlive(): void {
		for (const granted of this.granted.values()) {
			const {id, promptTokens, server, state} = granted;
			const serverState = state === 'granted' ? 'unacknowledged' : state;
			const open: KeepAlive['open'][number] = {
				...requestOf(id, {promptTokens}), servers: [server.id], acknowledged: state !== 'granted', serverStates: [serverState],
			};
			this.#coordinatorFor(granted)?.keepAlive({sender: this.#daemons[granted.daemon]!.sender, pool: POOL, open: [open]});
		}
	}

	async #start(index: number, incarnation: number): Promise<Daemon> {
		const objects = this.#store.client();
		const configuration = configurationFixture(configurationOf());
		const sender = {id: `d${index}`, incarnation: `i${incarnation}`, peerAddress: String(index)};
		const registry = MemberRegistry.create({
			identity: {
				...sender, address: '127.0.0.1:1', region: 'pt-norte', failureDomain: 'braga',
			},
			objects,
			logger: silentLogger,
		});
		await registry.start();
		const directory = RegionDirectory.create({
			self: () => registry.current(),
			objects,
			hostList: {fetchHosts: async () => ({kind: 'listed', list: {version: 1, hosts: hostsOf('e1')}})},
			configuration,
			clock: monotonicMs,
			logger: silentLogger,
		});
		await directory.start();
		const coordinator = PoolCoordinator.create({
			lease: {
				pool: POOL, failureDomain: 'braga', objects, directory, peers: this.#peers(), clock: monotonicMs, logger: silentLogger,
			},
			service: modelService,
			configuration: configuration.current()!.configuration,
			hosts: () => directory.hosts(POOL),
			incarnationState: (id, other) => directory.incarnationState(id, other),
			probe: this.engine,
			clock: monotonicMs,
			logger: silentLogger,
			longPromptQuota: true,
		});
		coordinator.start();
		return {
			sender, objects, coordinator,
			async close() {
				// The process ends without a change of what is stored.
				objects.fault = 'down';
				await coordinator.close();
				await directory.close();
				await registry.close();
			},
		};
	}

	#peers() {
		const leaseAt = (address: string) => {
			if (!this.peersConnected) {
				throw new Error('partitioned');
			}

			return this.#daemons[Number(address)]!.coordinator.lease;
		};

		return {
			stepDown: async (address: string, message: {readonly epoch: number}) => ({confirmed: leaseAt(address).stepDown(message.epoch)}),
			promise: async (address: string, message: {readonly epoch: number; readonly forMs: number}) => ({
				promised: leaseAt(address).promise(message.epoch, message.forMs, monotonicMs()),
			}),
		};
	}
}
