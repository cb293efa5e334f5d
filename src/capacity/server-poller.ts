/** Polls the backend servers of a pool to keep the coordinator's view of them current. */
import type {IncarnationState} from '../membership/member-view.js';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import type {BackendProbe, ProbeTarget} from './backend-probe.js';
import type {BackendServerState} from './backend-server-state.js';
import {findLeftOver} from './left-over.js';
import type {PoolAdmission} from './pool-admission.js';

export const LOAD_INTERVAL_MS = 500;

/** Interval of listings that search for left-over streams and segments even when no orphan is known. */
const SWEEP_INTERVAL_MS = 10_000;

const CALL_TIMEOUT_MS = 1000;

/** Number of consecutive missed load reports that are tolerated before the server counts as failing. */
const TOLERATED_MISSES = 2;

export type ServerPollerOptions = {
	readonly kind: 'model' | 'plain';
	readonly admission: PoolAdmission;
	readonly probe: BackendProbe;
	readonly incarnationState: (daemon: string, incarnation: string) => IncarnationState;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Called when a server may accept more than before. */
	readonly onProgress: () => void;
};

type PollState = {
	isPolling: boolean;
	missedReports: number;
	sweptAtMs: number;
};

/** Serves one epoch. At most one poll and one health probe of each server run at a time. */
export class ServerPoller {
	static create(options: ServerPollerOptions): ServerPoller {
		return new ServerPoller(options);
	}

	readonly #pollStates = new Map<string, PollState>();
	readonly #probing = new Set<string>();
	readonly #abort = new AbortController();

	private constructor(private readonly options: ServerPollerOptions) {}

	/** Polls every server that is not being polled already. */
	poll(): void {
		const servers = this.options.admission.servers.all();
		for (const server of servers) {
			if (server.address !== '') {
				void this.#pollServer(server);
			}
		}

		const ids = new Set(servers.map(server => server.id));
		for (const id of this.#pollStates.keys()) {
			if (!ids.has(id)) {
				this.#pollStates.delete(id);
			}
		}
	}

	/** Calls `/health` on a server for a request that waits for the result. */
	async probeHealth(server: BackendServerState): Promise<void> {
		if (this.#probing.has(server.id) || this.#abort.signal.aborted) {
			return;
		}

		this.#probing.add(server.id);
		const requestedAtMs = this.options.clock();
		try {
			const health = await this.options.probe.health(this.#target(server), this.#callOptions);
			server.applyHealth(health, requestedAtMs, this.options.clock());
		} catch {
			server.noteFailure(this.options.clock());
		} finally {
			this.#probing.delete(server.id);
		}

		this.#notifyProgress();
	}

	close(): void {
		this.#abort.abort();
	}

	get #callOptions() {
		return {timeoutMs: CALL_TIMEOUT_MS, signal: this.#abort.signal};
	}

	async #pollServer(server: BackendServerState): Promise<void> {
		const pollState = this.#pollStates.get(server.id) ?? {isPolling: false, missedReports: 0, sweptAtMs: -Infinity};
		this.#pollStates.set(server.id, pollState);
		if (pollState.isPolling) {
			return;
		}

		pollState.isPolling = true;
		try {
			await this.#refresh(server, pollState);
			pollState.missedReports = 0;
		} catch (err) {
			this.#noteMiss(server, pollState, err);
		} finally {
			pollState.isPolling = false;
		}

		this.#notifyProgress();
	}

	async #refresh(server: BackendServerState, pollState: PollState): Promise<void> {
		const {probe, clock, kind} = this.options;
		const target = this.#target(server);
		// Load reports list the models, which have to be known before the listing enables grants on the server.
		const report = await probe.load(target, this.#callOptions);
		if (!this.#abort.signal.aborted) {
			server.applyLoad(report, clock());
		}

		const isSweepDue = clock() - pollState.sweptAtMs >= SWEEP_INTERVAL_MS;
		if (kind === 'model' && (server.needsListing || isSweepDue)) {
			pollState.sweptAtMs = clock();
			await this.#refreshListing(server, target);
		}
	}

	async #refreshListing(server: BackendServerState, target: ProbeTarget): Promise<void> {
		const {probe, clock, admission, incarnationState} = this.options;
		const requestedAtMs = clock();
		const listing = await probe.listing(target, this.#callOptions);
		const now = clock();
		if (this.#abort.signal.aborted) {
			return;
		}

		server.applyListing(listing, requestedAtMs, now);
		if (admission.isRecovering(now)) {
			return;
		}

		const {streams, segments} = findLeftOver(listing, {isOpen: id => admission.isOpen(id), incarnationState});
		for (const id of streams) {
			this.options.logger.info('left_over_stream_cancelled', {server: server.id, stream: id});
			await probe.cancel(target, id, this.#callOptions);
		}

		for (const id of segments) {
			this.options.logger.info('left_over_segment_freed', {server: server.id, segment: id});
			await probe.freeSegment(target, id, this.#callOptions);
		}
	}

	#noteMiss(server: BackendServerState, pollState: PollState, err: unknown): void {
		if (this.#abort.signal.aborted) {
			return;
		}

		pollState.missedReports++;
		if (pollState.missedReports > TOLERATED_MISSES) {
			server.noteFailure(this.options.clock());
			this.options.logger.warn('backend_server_silent', {
				server: server.id, peer: server.address, misses: pollState.missedReports, message: String(err),
			});
		}
	}

	#target(server: BackendServerState): ProbeTarget {
		return {id: server.id, address: server.address, kind: this.options.kind};
	}

	#notifyProgress(): void {
		if (!this.#abort.signal.aborted) {
			this.options.onProgress();
		}
	}
}
