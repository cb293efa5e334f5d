/** Opens connections to backend servers, one at a time, to find out whether a lost path to them has come back. */
import {createConnection} from 'node:net';
import type {BackendServer} from '../fleet/backend-server.js';
import {pause} from '../util/pause.js';

/** Pause in ms between probes. Two that succeed end a lost path, within a fraction of the time to recover that users expect. */
const PROBE_INTERVAL_MS = 400;
/** Time in ms to connect, as for requests. */
const CONNECT_TIMEOUT_MS = 400;

export type PathProbeOptions = {
	/** Whether further probes are needed. */
	isNeeded(): boolean;
	/** The server to connect to next; undefined while none is known. */
	nextServer(): BackendServer | undefined;
	onConnected(): void;
	onNotConnected(server: BackendServer): void;
	/** Called when a probe could not be made, for example since the address of the server is invalid. */
	onError(err: unknown): void;
};

export class PathProbe {
	static create(options: PathProbeOptions): PathProbe {
		return new PathProbe(options);
	}

	readonly #controller = new AbortController();
	#isRunning = false;

	private constructor(private readonly options: PathProbeOptions) {}

	/** Probes for as long as that is needed. Does nothing if it is already probing. */
	start(): void {
		if (!this.#isRunning) {
			this.#isRunning = true;
			void this.#run();
		}
	}

	close(): void {
		this.#controller.abort();
	}

	async #run(): Promise<void> {
		const {signal} = this.#controller;
		const {isNeeded, onError} = this.options;
		while (!signal.aborted && isNeeded()) {
			await pause(PROBE_INTERVAL_MS, signal);
			try {
				await this.#probe(signal);
			} catch (err) {
				onError(err);
			}
		}

		this.#isRunning = false;
	}

	async #probe(signal: AbortSignal): Promise<void> {
		const {nextServer, onConnected, onNotConnected} = this.options;
		const server = signal.aborted ? undefined : nextServer();
		if (!server) {
			return;
		}

		const isConnected = await canConnect(server.address);
		if (isConnected) {
			onConnected();
		} else if (!signal.aborted) {
			onNotConnected(server);
		}
	}
}

async function canConnect(address: string): Promise<boolean> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const socket = createConnection({host, port: Number(port)});
		const finish = (isConnected: boolean): void => {
			clearTimeout(timer);
			socket.destroy();
			resolve(isConnected);
		};

		const timer = setTimeout(finish, CONNECT_TIMEOUT_MS, false);
		socket.once('connect', () => {
			finish(true);
		});
		// Also after `finish`, since a socket that was destroyed may still report an error.
		socket.on('error', () => {
			finish(false);
		});
	});
}
