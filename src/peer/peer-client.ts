/** Client for the peer calls to one address, over keep-alive connections. */
import {createTRPCClient, httpLink, type TRPCClient} from '@trpc/client';
import {Agent} from 'undici';
import {z} from 'zod';
import {withTimeLimit} from '../util/time-limit.js';
import {createMeteredConnector, type TrafficMeter} from '../util/traffic-meter.js';
import {PeerError} from './peer-error.js';
import type {PeerRouter} from './peer-router.js';
import {
	type Acknowledge, type Claim, type ClaimAnswer, claimAnswerSchema, type ConfigurationPoll, type ConfigurationPollAnswer,
	configurationPollAnswerSchema, type KeepAlive, type KeepAliveAnswer, keepAliveAnswerSchema, type PeerService,
	type PromiseRequest, type Release, type Reserve, type ReserveAnswer, reserveAnswerSchema, type Settle, type StepDown,
} from './protocol.js';
import {createUndiciFetch} from './undici-fetch.js';

/** Timeout in ms of calls that a peer answers immediately. */
const SHORT_CALL_TIMEOUT_MS = 2000;

/** Added to the time for which a peer may hold a long poll or a queued reservation, in ms. */
const ANSWER_MARGIN_MS = 1000;

/** Shorter than the keep-alive timeout of the peer server, which is 30 s. */
const IDLE_CONNECTION_MS = 20_000;

const CONNECT_TIMEOUT_MS = 1000;

const stepDownAnswerSchema = z.object({confirmed: z.boolean()}).readonly();
const promiseAnswerSchema = z.object({promised: z.boolean()}).readonly();

/**
 * {@link PeerService} of the daemon at one address. Each call has a timeout; failures reject with a {@link PeerError}.
 * A call that times out or is aborted closes its connection, so a stalled connection is not reused.
 */
export class PeerClient implements PeerService {
	static create(address: string, meter?: TrafficMeter): PeerClient {
		// The number of connections is not limited: a queued reservation occupies one and must not delay a keep-alive message.
		const connect = createMeteredConnector({timeout: CONNECT_TIMEOUT_MS, noDelay: true}, meter);
		const agent = new Agent({keepAliveTimeout: IDLE_CONNECTION_MS, connect});
		return new PeerClient(address, agent);
	}

	readonly #trpc: TRPCClient<PeerRouter>;
	#pendingCalls = 0;

	private constructor(readonly address: string, private readonly agent: Agent) {
		this.#trpc = createTRPCClient<PeerRouter>({
			links: [httpLink({
				url: `http://${address}`,
				fetch: createUndiciFetch(agent),
			})],
		});
	}

	/** Number of calls without an answer yet. */
	get pendingCalls(): number {
		return this.#pendingCalls;
	}

	async reserve(message: Reserve, signal?: AbortSignal): Promise<ReserveAnswer> {
		return this.#call('reserve', {timeoutMs: message.remainingMs + ANSWER_MARGIN_MS, signal}, async options =>
			reserveAnswerSchema.parse(await this.#trpc.reserve.mutate(message, options)));
	}

	async acknowledge(message: Acknowledge): Promise<void> {
		return this.#call('acknowledge', {timeoutMs: SHORT_CALL_TIMEOUT_MS}, async options => this.#trpc.acknowledge.mutate(message, options));
	}

	async release(message: Release): Promise<void> {
		return this.#call('release', {timeoutMs: SHORT_CALL_TIMEOUT_MS}, async options => this.#trpc.release.mutate(message, options));
	}

	async keepAlive(message: KeepAlive): Promise<KeepAliveAnswer> {
		return this.#call('keepAlive', {timeoutMs: SHORT_CALL_TIMEOUT_MS}, async options =>
			keepAliveAnswerSchema.parse(await this.#trpc.keepAlive.mutate(message, options)));
	}

	async stepDown(message: StepDown): Promise<{readonly confirmed: boolean}> {
		return this.#call('stepDown', {timeoutMs: SHORT_CALL_TIMEOUT_MS}, async options =>
			stepDownAnswerSchema.parse(await this.#trpc.stepDown.mutate(message, options)));
	}

	async promise(message: PromiseRequest): Promise<{readonly promised: boolean}> {
		return this.#call('promise', {timeoutMs: SHORT_CALL_TIMEOUT_MS}, async options =>
			promiseAnswerSchema.parse(await this.#trpc.promise.mutate(message, options)));
	}

	async configuration(message: ConfigurationPoll, signal?: AbortSignal): Promise<ConfigurationPollAnswer> {
		return this.#call('configuration', {timeoutMs: message.waitMs + ANSWER_MARGIN_MS, signal}, async options =>
			configurationPollAnswerSchema.parse(await this.#trpc.configuration.mutate(message, options)));
	}

	async claim(message: Claim, signal?: AbortSignal): Promise<ClaimAnswer> {
		return this.#call('claim', {timeoutMs: message.remainingMs, signal}, async options =>
			claimAnswerSchema.parse(await this.#trpc.claim.mutate(message, options)));
	}

	async settle(message: Settle): Promise<void> {
		return this.#call('settle', {timeoutMs: SHORT_CALL_TIMEOUT_MS}, async options => this.#trpc.settle.mutate(message, options));
	}

	async levels(): Promise<unknown> {
		return this.#call('levels', {timeoutMs: SHORT_CALL_TIMEOUT_MS}, async options => this.#trpc.levels.mutate(undefined, options));
	}

	/** Closes all connections; pending calls reject. */
	async close(): Promise<void> {
		await this.agent.destroy();
	}

	async #call<T>(
		procedure: keyof PeerService,
		limit: {readonly timeoutMs: number; readonly signal?: AbortSignal},
		call: (options: {readonly signal: AbortSignal}) => Promise<T>,
	): Promise<T> {
		this.#pendingCalls++;
		try {
			return await withTimeLimit(limit, async signal => call({signal}));
		} catch (err) {
			throw new PeerError(procedure, this.address, err);
		} finally {
			this.#pendingCalls--;
		}
	}
}
