/** Runs one request: chooses a server, sends, and decides after each attempt whether to repeat, deliver or fail. */
import type {BackendServer} from '../fleet/backend-server.js';
import type {LoadExchange} from '../fleet/load-exchange.js';
import type {Clock} from '../util/clock.js';
import {failure, type Failure, type FailureCode} from '../util/failure.js';
import type {Logger} from '../util/logger.js';
import type {RetryBudget} from '../util/retry-budget.js';
import {
	runAttempt, type Answer, type AttemptResult,
} from './attempt.js';
import {ClientResponse} from './client-response.js';
import {patienceMs, type GatewayRequest} from './gateway-request.js';
import {MemoryReservation, type MemoryOrders} from './memory-reservation.js';
import {
	hasRunsLeft, nextStep, type NextStep, type RepeatState,
} from './repeat-policy.js';
import {chooseServer, type Choice, type ChoiceParts} from './server-choice.js';
import type {WireFormat} from './wire-format.js';

/** A call that may run again is tried elsewhere after this multiple of its target latency without a response. */
const CALL_SILENCE_TARGETS = 2;
/** A stream that may be resumed is tried elsewhere after this share of its client's patience without an event. */
const STREAM_SILENCE_SHARE = 0.5;
/** Slack on the expected time to the first event, before a silent engine is given up. */
const EXPECTED_SLACK = 2;
/** A prompt whose first event is expected after this share of its client's patience is refused at once. */
const HOPELESS_SHARE = 0.9;
/** Advice on when to return where servers are full: the time in which a usual answer frees a slot. */
const RETRY_AFTER_MS = 700;
/**
 * Advice on when to return where no server may be used at all. Clients return once, and wait for a third of their time at
 * most, so the one return is as late as that allows: registrations need about two seconds.
 */
const NO_SERVER_RETRY_MS = 2000;
const RETRY_TIME_SHARE = 0.33;

/**
 * Time in ms for which a server is left out whose address answers for another one: three heartbeats of 1.2 s and some
 * more, after which its registration is gone. It registers anew under another identity.
 */
const MOVED_MS = 6000;
/** Time in ms for which a server is left out at whose address nothing listens; a restart takes one or two seconds. */
const REFUSED_MS = 1500;

export type FlowParts = ChoiceParts & {
	readonly wire: WireFormat;
	readonly exchange: LoadExchange;
	readonly memoryOrders: MemoryOrders;
	readonly clock: Clock;
	readonly logger: Logger;
	budget(service: string): RetryBudget;
};

/** How a request ended, for logs and metrics. */
export type FlowResult = {
	readonly outcome: 'delivered' | 'answered' | 'failed' | 'left';
	readonly status: number;
	readonly sends: number;
	/** Time in ms to the first event of a stream, and its longest pause. */
	readonly firstEventMs?: number;
	readonly longestGapMs?: number;
	readonly failure?: Failure;
};

export class RequestFlow {
	static create(parts: FlowParts, request: GatewayRequest): RequestFlow {
		return new RequestFlow(parts, request);
	}

	readonly #excluded = new Set<string>();
	readonly #response: ClientResponse;
	#runs = 0;
	#sends = 0;
	#arrivals = 0;

	private constructor(private readonly parts: FlowParts, private readonly request: GatewayRequest) {
		this.#response = ClientResponse.create(request, parts.clock);
	}

	async run(): Promise<FlowResult> {
		const {parts, request} = this;
		parts.budget(request.service.name).recordRequest();
		for (;;) {
			const now = parts.clock();
			const choice = this.#choose(now);
			if (choice.kind === 'refused') {
				return this.#fail(choice.failure);
			}

			const result = await this.#attempt(choice.choice, now);
			const next = nextStep(result.outcome, this.#state(parts.clock()));
			if (result.outcome.kind !== 'delivered' && result.outcome.kind !== 'left') {
				this.#noteAttempt(choice.choice, result, next.kind);
			}

			switch (next.kind) {
				case 'repeat': {
					continue;
				}

				case 'finished': {
					return this.#finish(result.outcome.kind === 'left' ? 'left' : 'delivered');
				}

				case 'deliver': {
					return this.#deliver(result.answer!);
				}

				case 'fail': {
					return this.#fail(failure({
						code: failureCode(next),
						message: next.reason,
						ran: next.ran,
						step: 'send',
						peer: choice.choice.server.instanceId,
						retryAfterMs: next.ran === 'not_run' ? RETRY_AFTER_MS : undefined,
					}));
				}
			}
		}
	}

	#choose(now: number): {readonly kind: 'chosen'; readonly choice: Choice} | {readonly kind: 'refused'; readonly failure: Failure} {
		const {parts, request} = this;
		const choice = chooseServer(parts, request, {excluded: this.#excluded, sends: this.#sends}, now);
		const ran = this.#runs === 0 ? 'not_run' : 'unknown';
		if (!choice) {
			return {
				kind: 'refused',
				failure: failure({
					code: ran === 'not_run' ? 'no_capacity' : 'backend_failed',
					message: `no backend server of ${request.service.name} can take the request`,
					ran,
					step: 'reserve',
					retryAfterMs: Math.min(NO_SERVER_RETRY_MS, RETRY_TIME_SHARE * (request.deadline - now)),
				}),
			};
		}

		const patience = patienceMs(request.route);
		if (ran === 'not_run' && choice.expectedMs > HOPELESS_SHARE * patience) {
			return {
				kind: 'refused',
				failure: failure({
					code: 'overloaded',
					message: `the first event is expected in ${Math.round(choice.expectedMs)} ms, the client waits ${patience} ms`,
					ran,
					step: 'reserve',
					retryAfterMs: RETRY_AFTER_MS,
				}),
			};
		}

		return {kind: 'chosen', choice};
	}

	async #attempt(choice: Choice, now: number): Promise<AttemptResult> {
		const {parts, request} = this;
		const {placement} = choice;
		this.#sends++;
		parts.logger.info('placed', {
			request: request.id,
			server: choice.server.instanceId,
			helpers: choice.helpers.length,
			prompt_tokens: request.facts.promptTokens,
			reserved_tokens: choice.reserved.reduce((sum, {tokens}) => sum + tokens, 0),
			expected_ms: Math.round(choice.expectedMs),
			considered: choice.considered,
			send: this.#sends,
		});
		parts.exchange.open(placement, now);
		let memory: MemoryReservation | undefined;
		try {
			if (choice.reserved.length > 0) {
				const acquired = await MemoryReservation.acquire({orders: parts.memoryOrders, clock: parts.clock, logger: parts.logger}, request.id, choice.reserved);
				if (acquired.kind === 'refused') {
					return {
						outcome: {kind: 'rejected', reason: acquired.reason}, mayHaveRun: false, isUnsent: true, faultyAddress: acquired.server.address,
					};
				}

				memory = acquired.reservation;
			}

			const result = await runAttempt({
				memory,
				wire: parts.wire,
				clock: parts.clock,
				request,
				choice,
				sink: this.#response,
				silenceMs: this.#silenceMs(choice),
				mayGiveUp: () => hasRunsLeft({...this.#state(parts.clock()), runs: this.#runs + 1}),
				onFirstEvent() {
					parts.exchange.start(placement.id, parts.clock());
				},
				signal: this.#response.signal,
			});
			this.#runs += result.mayHaveRun ? 1 : 0;
			this.#arrivals += result.isUnsent ? 0 : 1;
			return result;
		} finally {
			parts.exchange.closePlacement(placement.id);
			void memory?.release();
		}
	}

	#silenceMs(choice: Choice): number {
		const {route} = this.request;
		return route.kind.kind === 'stream'
			? Math.max(STREAM_SILENCE_SHARE * patienceMs(route), EXPECTED_SLACK * choice.expectedMs)
			: CALL_SILENCE_TARGETS * route.targetLatencyMs;
	}

	#state(now: number): RepeatState {
		const {route, deadline, service} = this.request;
		return {
			kind: route.kind,
			maxAttempts: route.maxAttempts,
			runs: this.#runs,
			sends: this.#sends,
			arrivals: this.#arrivals,
			timeLeftMs: deadline - now,
			tryBudget: () => this.parts.budget(service.name).tryRetry(),
		};
	}

	/** Records a failed attempt in the health of the server at fault, which this request does not use again. */
	#noteAttempt(choice: Choice, {outcome, faultyAddress, lost}: AttemptResult, next: string): void {
		const {parts, request} = this;
		const blamed = [choice.server, ...choice.helpers].find(({address}) => address === faultyAddress) ?? choice.server;
		const isSuccess = outcome.kind === 'answered' && outcome.status < 500;
		const now = parts.clock();
		parts.health.note(blamed.id, isSuccess, now);
		if (blamed !== choice.server && blamed.failureDomain !== choice.server.failureDomain) {
			parts.cuts.note(blamed.failureDomain, choice.server.failureDomain, now);
		}

		if (lost !== undefined) {
			this.#noteLost(blamed, lost, now);
		}

		this.#excluded.add(blamed.id);
		if (!isSuccess) {
			parts.logger.warn('attempt_failed', {
				request: request.id,
				server: blamed.instanceId,
				outcome: outcome.kind,
				reason: 'reason' in outcome ? outcome.reason : undefined,
				status: 'status' in outcome ? outcome.status : undefined,
				next,
			});
		}
	}

	/** Leaves a server out, here and at the other daemons: each would find the same at the cost of a request. */
	#noteLost({id, instanceId}: BackendServer, lost: 'moved' | 'refused', now: number): void {
		const {fleet, exchange, logger} = this.parts;
		const ms = lost === 'moved' ? MOVED_MS : REFUSED_MS;
		if (fleet.noteLost(id, now + ms, now)) {
			logger.info('server_lost', {server: instanceId, ms, reason: lost});
			exchange.tellLost(id, ms);
		}
	}

	#finish(outcome: 'delivered' | 'left'): FlowResult {
		if (outcome === 'delivered') {
			this.#response.end();
		}

		return {
			outcome, status: outcome === 'delivered' ? 200 : 499, sends: this.#sends, ...this.#response.pace,
		};
	}

	#deliver(answer: Answer): FlowResult {
		this.#response.sendAnswer(answer);
		return {outcome: 'answered', status: answer.status, sends: this.#sends};
	}

	#fail(failed: Failure): FlowResult {
		const status = this.#response.fail(failed, this.parts.wire.formatRetryAfter);
		return {
			outcome: 'failed', status, sends: this.#sends, ...this.#response.pace, failure: failed,
		};
	}
}

function failureCode({ran, isExpired}: Extract<NextStep, {kind: 'fail'}>): FailureCode {
	if (ran === 'not_run') {
		return 'no_capacity';
	}

	return isExpired ? 'deadline_exceeded' : 'backend_failed';
}
