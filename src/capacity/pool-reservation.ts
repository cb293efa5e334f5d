/** A granted reservation at the daemon that received the request. */
import type {
	Acknowledge, GrantedServer, KeepAlive, PoolSummary, Release, Reserve,
} from '../peer/protocol.js';

/** Request for a reservation; the client adds the sender. */
export type ReservationRequest = Omit<Reserve, 'sender' | 'activate'>;

/** Result of activating a further member of a split prompt. */
export type Activation =
	| {readonly kind: 'activated'; readonly validUntil: number}
	| {readonly kind: 'refused'; readonly message: string};

/** Sends the messages of a reservation to its coordinator. No call rejects. */
export type ReservationLink = {
	acknowledge(reservation: PoolReservation, server: string, answer: {readonly boot: string; readonly warm: boolean; readonly prefilled?: boolean}): void;
	activate(reservation: PoolReservation, server: string, signal: AbortSignal): Promise<Activation>;
	release(reservation: PoolReservation, outcome: Release['outcome'], firstTokenMs?: number): void;
};

type Grant = {
	readonly servers: readonly GrantedServer[];
	readonly epoch: number;
	readonly enginePriority: number;
	readonly firstTokenMs?: number | undefined;
	readonly summary: PoolSummary;
	readonly validUntil: number;
};

/** A granted reservation, valid until it is released. */
export class PoolReservation {
	readonly id: string;
	readonly pool: string;
	readonly servers: readonly GrantedServer[];
	readonly epoch: number;
	readonly enginePriority: number;
	/** Estimated time in ms from the grant to the first token; undefined when the coordinator gave none. */
	readonly firstTokenMs: number | undefined;
	readonly summary: PoolSummary;
	/** Monotonic ms of this process from which nothing may be sent to the first server any more. */
	readonly validUntil: number;
	readonly #deadlineMs: number;
	readonly #answers = new Map<string, {readonly boot: string; readonly warm: boolean}>();
	readonly #prefilled = new Set<string>();
	readonly #activated = new Set<string>();
	#released = false;

	constructor(private readonly request: ReservationRequest, grant: Grant, private readonly link: ReservationLink, requestedAtMs: number) {
		this.id = request.id;
		this.pool = request.pool;
		this.servers = grant.servers;
		this.epoch = grant.epoch;
		this.enginePriority = grant.enginePriority;
		this.summary = grant.summary;
		this.firstTokenMs = grant.firstTokenMs;
		this.validUntil = grant.validUntil;
		this.#deadlineMs = requestedAtMs + request.remainingMs;
	}

	get kind() {
		return 'granted' as const;
	}

	/** Whether the request may still be sent to the first server. If not, release the reservation as `not_sent`. */
	isValid(now: number): boolean {
		return !this.#released && now < this.validUntil;
	}

	/** Reports that the backend server sent response headers. Call this as soon as they arrive. */
	acknowledge({server, boot, warm}: Pick<Acknowledge, 'server' | 'boot' | 'warm'>): void {
		const answer = {boot, warm};
		this.#answers.set(server, answer);
		this.link.acknowledge(this, server, answer);
	}

	/** Reports that the first token or the finished segment arrived from `server`. */
	prefilled(server: string): void {
		const answer = this.#answers.get(server);
		if (answer && !this.#prefilled.has(server)) {
			this.#prefilled.add(server);
			this.link.acknowledge(this, server, {...answer, prefilled: true});
		}
	}

	/** Waits for the activation of a further member of a split prompt. Nothing may be sent to that server before. */
	async activate(server: string, signal: AbortSignal): Promise<Activation> {
		const activation = await this.link.activate(this, server, signal);
		if (activation.kind === 'activated') {
			this.#activated.add(server);
		}

		return activation;
	}

	/** Ends the reservation. Further calls have no effect. */
	release(outcome: Release['outcome'], firstTokenMs?: number): void {
		if (!this.#released) {
			this.#released = true;
			this.link.release(this, outcome, firstTokenMs);
		}
	}

	/** The request that activates the member at `server`. */
	activationRequest(server: string, now: number): ReservationRequest & {readonly activate: string} {
		return {...this.request, remainingMs: Math.max(1, this.#deadlineMs - now), activate: server};
	}

	/** Entry for this reservation in a keep-alive. */
	keepAliveEntry(now: number): KeepAlive['open'][number] {
		const {id, promptTokens, kvTokens, workspace, lengthClass} = this.request;
		return {
			id,
			servers: this.servers.map(server => server.id),
			serverTokens: this.servers.map(server => server.tokens),
			promptTokens,
			kvTokens,
			workspace,
			lengthClass,
			remainingMs: this.#deadlineMs - now,
			acknowledged: this.#answers.size === this.servers.length,
			serverStates: this.servers.map(server => this.#stateAt(server.id)),
		};
	}

	#stateAt(server: string) {
		if (this.#prefilled.has(server)) {
			return 'prefilled';
		}

		if (this.#answers.has(server)) {
			return 'acknowledged';
		}

		return server === this.servers[0]!.id || this.#activated.has(server) ? 'unacknowledged' : 'inactive';
	}
}
