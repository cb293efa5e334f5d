/** A daemon of the soak test: the bundled program as a process of its own, connected to the store through a fault proxy. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import type {ProcessGuard} from '../processes.js';
import type {FaultProxy} from './fault-proxy.js';

/** Port numbers, the same for all daemons, since each has its own IP address. */
export type SoakPorts = {readonly front: number; readonly ready: number; readonly peer: number; readonly metrics: number};

export type SoakDaemonOptions = {
	readonly name: string;
	readonly ip: string;
	readonly failureDomain: string;
	readonly ports: SoakPorts;
	readonly program: string;
	/** Folder for the settings file and the log. */
	readonly folder: string;
	readonly storeProxy: FaultProxy;
	readonly guard: ProcessGuard;
};

export const STOP_GRACE_MS = 5000;
export const RETRY_BUDGET_RATIO = 0.2;
export const RETRY_BUDGET_SLACK = 60;

export class SoakDaemon {
	static create(options: SoakDaemonOptions): SoakDaemon {
		return new SoakDaemon(options);
	}

	/** Number of starts so far; identifies the current process. */
	incarnation = 0;
	/** Exits that nobody asked for. */
	readonly ownExits: Array<{readonly incarnation: number; readonly code: number | null}> = [];
	#child: ChildProcess | undefined;
	#isPaused = false;
	#isEnding = false;

	private constructor(readonly options: SoakDaemonOptions) {}

	get address(): string {
		return `${this.options.ip}:${this.options.ports.front}`;
	}

	get readyUrl(): string {
		return `http://${this.options.ip}:${this.options.ports.ready}/-/ready`;
	}

	get #logFile(): string {
		return path.join(this.options.folder, `${this.options.name}.log`);
	}

	get isRunning(): boolean {
		return this.#child !== undefined;
	}

	start(): void {
		if (this.#child) {
			return;
		}

		const {
			name, folder, program, guard,
		} = this.options;
		const settings = path.join(folder, `${name}.json`);
		writeFileSync(settings, JSON.stringify(this.#settings()));
		const child = spawn(process.execPath, [program], {env: {...process.env, FIREFLYPORT_CONFIG: settings}, stdio: ['ignore', 'pipe', 'pipe']});
		const log = createWriteStream(this.#logFile, {flags: 'a'});
		child.stdout.pipe(log);
		child.stderr.pipe(log, {end: false});
		const {pid} = child;
		if (pid !== undefined) {
			guard.add(pid);
			child.once('exit', () => {
				guard.remove(pid);
			});
		}

		child.once('exit', code => {
			if (!this.#isEnding) {
				this.ownExits.push({incarnation: this.incarnation, code});
			}

			if (this.#child === child) {
				this.#child = undefined;
				this.#isPaused = false;
			}
		});
		this.#child = child;
		this.#isEnding = false;
		this.incarnation++;
	}

	/** Suspends the process with SIGSTOP, or resumes it with SIGCONT. */
	setPaused(isPaused: boolean): void {
		if (this.#child && isPaused !== this.#isPaused) {
			this.#isPaused = isPaused;
			this.#child.kill(isPaused ? 'SIGSTOP' : 'SIGCONT');
		}
	}

	/** Sends SIGTERM, and SIGKILL after {@link STOP_GRACE_MS}. */
	async stop(): Promise<void> {
		const child = this.#child;
		if (!child) {
			return;
		}

		this.setPaused(false);
		this.#isEnding = true;
		child.kill('SIGTERM');
		const timer = setTimeout(() => {
			child.kill('SIGKILL');
		}, STOP_GRACE_MS);
		await once(child, 'exit');
		clearTimeout(timer);
	}

	async kill(): Promise<void> {
		const child = this.#child;
		if (child) {
			this.#isEnding = true;
			child.kill('SIGKILL');
			await once(child, 'exit');
		}
	}

	/** Ids of the requests that the log of this daemon names. */
	loggedRequests(): readonly string[] {
		const log = readFileSync(this.#logFile, 'utf8');
		return [...log.matchAll(/ request=(?<id>\S+)/gv)].map(({groups}) => groups!.id!);
	}

	#settings(): unknown {
		const {name, ip, failureDomain, ports, storeProxy} = this.options;
		return {
			node: name,
			ip,
			zone: failureDomain,
			zones: {[failureDomain]: 'region'},
			listen: {front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}`},
			'internal-port-range': [ports.peer, ports.metrics],
			limits: {'cpu-share': 1, cores: 1, 'memory-mb': 350},
			bounds: {
				'grace-s': STOP_GRACE_MS / 1000, 'stable-window-ms': 3000, 'retry-budget-ratio': RETRY_BUDGET_RATIO, 'budget-slack': RETRY_BUDGET_SLACK,
			},
			platform: {address: storeProxy.address},
		};
	}
}
