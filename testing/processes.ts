/** Starts and stops the processes of a test deployment. Only testing code starts processes. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';

const READY_TIMEOUT_MS = 20_000;
const STOP_TIMEOUT_MS = 10_000;
/** Log lines kept per process. The log is trimmed by this number when it has grown to twice as many. */
const KEPT_LOG_LINES = 5000;
const ERROR_LOG_LINES = 20;

/** Folder of the built programs; this file runs from `testing/` or `dist/testing/`. */
const distFolder = path.resolve(import.meta.dirname, path.basename(path.resolve(import.meta.dirname, '..')) === 'dist' ? '..' : '../dist');

/** Path of a built program, for example `src/daemon/main.js`. */
export const builtProgram = (program: string): string => path.join(distFolder, program);

/** Exit code or signal of a process. Both are null when it could not be started. */
export type ProcessExit = {readonly code: number | null; readonly signal: NodeJS.Signals | null};

export type StartOptions = {
	/** Name for error messages. */
	readonly name: string;
	/** Path of the program, relative to the build folder. */
	readonly program: string;
	readonly args: readonly string[];
	readonly env?: Readonly<Record<string, string>>;
};

const LISTENING_LINE = /(?:^|\s)(?:event=)?(?:listening|ready)(?:\s|$)/v;

/** Parses the `key=value` pairs of a log line; quotes around values are removed. */
export function parseLogLine(line: string): Readonly<Record<string, string>> {
	const pairs = line.matchAll(/(?<key>[\w.]+)=(?:"(?<quoted>[^"]*)"|(?<bare>\S+))/gv);
	return Object.fromEntries([...pairs].map(({groups}) => [groups!.key!, groups!.quoted ?? groups!.bare ?? '']));
}

/** A child process that has logged its listening address. */
export class RunningProcess {
	/** Starts a process and waits for its `listening` log line. Rejects with its last log lines if it exits earlier or times out. */
	static async start(options: StartOptions, onStart: (started: RunningProcess) => void): Promise<RunningProcess> {
		const child = spawn(process.execPath, [builtProgram(options.program), ...options.args], {
			env: {...process.env, ...options.env},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		const running = new RunningProcess(options.name, child);
		onStart(running);
		await running.#waitUntilReady();
		return running;
	}

	/** Resolves when the process has exited. */
	readonly exited: Promise<ProcessExit>;
	readonly #child: ChildProcess;
	readonly #log: string[] = [];
	#fields: Readonly<Record<string, string>> = {};
	#exit: ProcessExit | undefined;
	#onReady: (() => void) | undefined;

	private constructor(readonly name: string, child: ChildProcess) {
		this.#child = child;
		this.exited = this.#waitForExit();
		for (const stream of [child.stdout!, child.stderr!]) {
			createInterface({input: stream}).on('line', line => {
				this.#addLine(line);
			});
		}
	}

	/** Undefined if the process could not be started. */
	get pid(): number | undefined {
		return this.#child.pid;
	}

	/** Address as IP:PORT from the `listening` line. */
	get address(): string {
		return this.fields.address!;
	}

	get url(): string {
		return `http://${this.address}`;
	}

	/** Key-value pairs of the `listening` line. */
	get fields(): Readonly<Record<string, string>> {
		return this.#fields;
	}

	/** Last lines of standard output and standard error. */
	get log(): readonly string[] {
		return this.#log;
	}

	get isRunning(): boolean {
		return this.#exit === undefined;
	}

	/** Sends a signal; does nothing if the process has exited. */
	kill(signal: NodeJS.Signals): void {
		if (this.isRunning) {
			this.#child.kill(signal);
		}
	}

	/** Sends SIGTERM, and SIGKILL if the process has not exited after `timeoutMs`. */
	async stop(timeoutMs = STOP_TIMEOUT_MS): Promise<ProcessExit> {
		this.kill('SIGTERM');
		const timer = setTimeout(() => {
			this.kill('SIGKILL');
		}, timeoutMs);
		const exit = await this.exited;
		clearTimeout(timer);
		return exit;
	}

	async #waitForExit(): Promise<ProcessExit> {
		try {
			const [code, signal] = await once(this.#child, 'exit') as [number | null, NodeJS.Signals | null];
			this.#exit = {code, signal};
		} catch (err) {
			this.#addLine(String(err));
			this.#exit = {code: null, signal: null};
		}

		return this.#exit;
	}

	#addLine(line: string): void {
		this.#log.push(line);
		if (this.#log.length > KEPT_LOG_LINES * 2) {
			this.#log.splice(0, KEPT_LOG_LINES);
		}

		const fields = parseLogLine(line);
		if (this.#fields.address === undefined && fields.address !== undefined && LISTENING_LINE.test(line)) {
			this.#fields = fields;
			this.#onReady?.();
		}
	}

	async #waitUntilReady(): Promise<void> {
		let timer: NodeJS.Timeout | undefined;
		const listening = new Promise<string>(resolve => {
			this.#onReady = () => {
				resolve('');
			};

			timer = setTimeout(resolve, READY_TIMEOUT_MS, `${this.name} was not listening within ${READY_TIMEOUT_MS} ms`);
		});
		const ended = async (): Promise<string> => {
			const {code, signal} = await this.exited;
			return `${this.name} exited with ${signal ?? code} before it was listening`;
		};

		const problem = await Promise.race([listening, ended()]);
		clearTimeout(timer);
		if (problem !== '') {
			this.kill('SIGKILL');
			throw new Error([problem, ...this.#log.slice(-ERROR_LOG_LINES)].join('\n'));
		}
	}
}

/** Kills registered processes when this process exits, even by SIGKILL, through a separate guard process. */
export class ProcessGuard {
	static create(): ProcessGuard {
		return new ProcessGuard();
	}

	readonly #guard: ChildProcess;

	private constructor() {
		this.#guard = spawn(process.execPath, [builtProgram('testing/process-guard.js')], {stdio: ['pipe', 'ignore', 'inherit']});
		this.#guard.stdin!.on('error', () => undefined);
	}

	add(pid: number): void {
		this.#guard.stdin!.write(`add ${pid}\n`);
	}

	remove(pid: number): void {
		this.#guard.stdin!.write(`remove ${pid}\n`);
	}

	/** Kills the processes that are still registered. */
	async close(): Promise<void> {
		this.#guard.stdin!.end();
		if (this.#guard.exitCode === null) {
			await once(this.#guard, 'exit');
		}
	}
}

/** All processes that one test or program started. They are killed when it exits for any reason. */
export class Processes {
	static create(): Processes {
		return new Processes();
	}

	readonly #running = new Set<RunningProcess>();
	readonly #guard = ProcessGuard.create();
	readonly #killAll: () => void;

	private constructor() {
		this.#killAll = () => {
			for (const running of this.#running) {
				running.kill('SIGKILL');
			}
		};

		process.on('exit', this.#killAll);
	}

	/** Starts a process and waits until it is listening. */
	async start(options: StartOptions): Promise<RunningProcess> {
		return RunningProcess.start(options, running => {
			void this.#registerUntilExit(running);
		});
	}

	/** Stops all processes that are still running. */
	async closeAll(): Promise<void> {
		await Promise.all([...this.#running].map(async running => running.stop()));
		process.off('exit', this.#killAll);
		await this.#guard.close();
	}

	async #registerUntilExit(running: RunningProcess): Promise<void> {
		if (running.pid === undefined) {
			return;
		}

		this.#running.add(running);
		this.#guard.add(running.pid);
		await running.exited;
		this.#running.delete(running);
		this.#guard.remove(running.pid);
	}
}
