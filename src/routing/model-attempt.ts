/** Runs a model request once under one grant: sends it, relays the tokens and frees the engine resources. */
import type {AdmittedRequest} from '../admission/model-admission.js';
import type {DoneEvent, SegmentReference} from '../backend/engine-protocol.js';
import type {GrantedServer} from '../peer/protocol.js';
import type {EngineEvents, EngineProcessState, EngineStreams} from '../streams/engine-streams.js';
import type {HeldResource, StreamCleanup} from '../streams/stream-cleanup.js';
import {relayTokens, type RelayOutcome, type TokenSink} from '../streams/token-relay.js';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import type {Grant, ReleaseOutcome} from './reservation.js';
import {silenceLimits} from './silence-limits.js';
import {
	awaitSendPermission, prefillSegments, splitPrompt, type SegmentFailure, type SegmentParts,
} from './split-prompt.js';

const START_TIMEOUT_MS = 2000;

/**
 * `finished`: the response is complete. `not_run`: the request is known not to have run; `faultyServer` is the backend server
 * that caused the failure, if any. `broken`: the request was sent, but not completed. `stopped`: the signal was aborted.
 */
export type AttemptOutcome =
	| {readonly kind: 'finished'; readonly done: DoneEvent; readonly sentAt: number; readonly firstTokenAt: number | undefined}
	| {readonly kind: 'not_run'; readonly message: string; readonly faultyServer?: GrantedServer}
	| {
		readonly kind: 'broken';
		readonly message: string;
		readonly ran: 'ran' | 'unknown';
		readonly tokens: number;
		/** Whether the engine ended the stream because its deadline passed. */
		readonly expired: boolean;
		readonly faultyServer?: GrantedServer;
	}
	| {readonly kind: 'stopped'; readonly ran: 'not_run' | 'ran' | 'unknown'; readonly tokens: number};

export type AttemptParts = SegmentParts & {
	readonly cleanup: StreamCleanup;
	readonly logger: Logger;
};

export type Attempt = {
	readonly requestId: string;
	readonly request: AdmittedRequest;
	readonly grant: Grant;
	readonly sink: TokenSink;
	/** Aborted when the caller disconnects or the deadline passes. */
	readonly signal: AbortSignal;
};

/** Outcome of an attempt, and the outcome with which its reservation is released. */
type AttemptResult = {readonly outcome: AttemptOutcome; readonly release: ReleaseOutcome};

type StartResult =
	| ({readonly kind: 'accepted'; readonly events: EngineEvents} & EngineProcessState)
	| AttemptResult & {readonly kind: 'ended'};

/** Runs one attempt. The grant is released after its streams and segments at the engines have been freed. */
export async function runAttempt(parts: AttemptParts, attempt: Attempt): Promise<AttemptOutcome> {
	const {grant, request} = attempt;
	const held: HeldResource[] = [];
	let result: AttemptResult | undefined;
	try {
		result = await executeAttempt(parts, attempt, held);
		return result.outcome;
	} finally {
		const firstTokenMs = result && firstTokenTime(result.outcome);
		parts.cleanup.free(held, request.deadline, () => {
			grant.release(result?.release ?? 'failed', firstTokenMs);
		});
	}
}

/** Milliseconds from sending the request to its first token; undefined unless the attempt finished. */
function firstTokenTime(outcome: AttemptOutcome): number | undefined {
	return outcome.kind === 'finished' && outcome.firstTokenAt !== undefined ? outcome.firstTokenAt - outcome.sentAt : undefined;
}

async function executeAttempt(parts: AttemptParts, attempt: Attempt, held: HeldResource[]): Promise<AttemptResult> {
	const {grant, request, signal} = attempt;
	const {clock} = parts;
	if (signal.aborted) {
		return {outcome: {kind: 'stopped', ran: 'not_run', tokens: 0}, release: 'not_sent'};
	}

	const prompts = splitPrompt(request.prompt, grant.servers.map(server => server.tokens));
	const segments = await prefillSegments(parts, {
		grant,
		model: request.model,
		prompts: prompts.slice(0, -1),
		prefillTokensPerSecond: request.service.prefillTokensPerSecond,
		deadline: request.deadline,
		signal,
		held,
	});
	if (segments.kind === 'failed') {
		return notAcceptedResult(segments.server, segments.cause, held.length > 0, signal);
	}

	const sentAt = clock();
	const started = await startStream(parts, attempt, held, {prompt: prompts.at(-1)!, segments: segments.references});
	return started.kind === 'ended' ? started : relayStream(parts, attempt, started.events, sentAt);
}

/** Result of an attempt that `server` did not accept. The caller has received nothing, but earlier segments may have run. */
function notAcceptedResult(server: GrantedServer, cause: SegmentFailure, anyRan: boolean, signal: AbortSignal): AttemptResult {
	if (signal.aborted) {
		return {outcome: {kind: 'stopped', ran: anyRan ? 'ran' : 'not_run', tokens: 0}, release: 'cancelled'};
	}

	const isServerFault = cause.kind !== 'not_activated' && cause.kind !== 'withheld';
	const fault = {message: `sending to ${server.id}: ${cause.message}`, ...(isServerFault ? {faultyServer: server} : {})};
	const outcome: AttemptOutcome = anyRan
		? {
			kind: 'broken', ran: 'ran', tokens: 0, expired: false, ...fault,
		}
		: {kind: 'not_run', ...fault};
	const faultlessRelease = anyRan ? 'cancelled' : 'not_sent';
	return {outcome, release: isServerFault ? 'failed' : faultlessRelease};
}

/** Starts the stream on the last server of the grant and acknowledges the server to the coordinator. */
async function startStream(
	parts: AttemptParts,
	{grant, request, signal}: Attempt,
	held: HeldResource[],
	{prompt, segments}: {readonly prompt: string; readonly segments: readonly SegmentReference[]},
): Promise<StartResult> {
	const {engine, clock} = parts;
	const server = grant.servers.at(-1)!;
	const anyRan = held.length > 0;
	const remainingMs = request.deadline - clock();
	if (signal.aborted || remainingMs <= 0) {
		return {kind: 'ended', outcome: {kind: 'stopped', ran: anyRan ? 'ran' : 'not_run', tokens: 0}, release: 'cancelled'};
	}

	const permission = await awaitSendPermission(parts, grant, grant.servers.length - 1, signal);
	if (permission.kind !== 'permitted') {
		return {kind: 'ended', ...notAcceptedResult(server, permission, anyRan, signal)};
	}

	const {address} = server;
	const timeoutMs = Math.min(START_TIMEOUT_MS, remainingMs);
	const outcome = await engine.start(address, {
		id: grant.id, model: request.model, prompt, maxTokens: request.maxTokens, priority: grant.enginePriority, remainingMs, segments,
	}, {timeoutMs, signal, maySend: permission.maySend});
	if (outcome.kind !== 'accepted' && outcome.kind !== 'unknown') {
		return {kind: 'ended', ...notAcceptedResult(server, outcome, anyRan, signal)};
	}

	// When the response was lost, the stream may be running: try to resume it on a new connection.
	const confirmed = outcome.kind === 'accepted' || signal.aborted ? outcome : await engine.resume(address, grant.id, 0, {timeoutMs, signal});
	held.push({
		kind: 'stream', address, id: grant.id, mayArriveLate: confirmed.kind !== 'accepted',
	});
	if (confirmed.kind === 'accepted') {
		grant.acknowledge({server: server.id, boot: confirmed.boot, warm: confirmed.warm});
		return confirmed;
	}

	if (signal.aborted) {
		return {kind: 'ended', outcome: {kind: 'stopped', ran: 'unknown', tokens: 0}, release: 'cancelled'};
	}

	return {
		kind: 'ended',
		outcome: {
			kind: 'broken', message: `starting the stream: ${outcome.kind === 'unknown' ? outcome.message : ''}`, ran: 'unknown', tokens: 0, expired: false, faultyServer: server,
		},
		release: 'silent',
	};
}

async function relayStream({engine, clock, logger}: AttemptParts, {requestId, grant, request, sink, signal}: Attempt, events: EngineEvents, sentAt: number): Promise<AttemptResult> {
	const server = grant.servers.at(-1)!;
	const outcome = await relayTokens({id: grant.id, address: server.address, events}, {
		engine,
		sink,
		limits: silenceLimits(request, grant.firstTokenMs, clock()),
		signal,
		clock,
		onFirstToken() {
			grant.prefilled(server.id);
		},
		onFault(message, nextIndex) {
			logger.warn('stream_fault', {
				request: requestId, stream: grant.id, server: server.id, next: nextIndex, message,
			});
		},
	});
	return relayResult(outcome, server, sentAt);
}

function relayResult(outcome: RelayOutcome, faultyServer: GrantedServer, sentAt: number): AttemptResult {
	const {tokens} = outcome;
	switch (outcome.kind) {
		case 'finished': {
			const {done, firstTokenAt} = outcome;
			return {
				outcome: {
					kind: 'finished', done, sentAt, firstTokenAt,
				},
				release: 'finished',
			};
		}

		case 'failed': {
			const {code, message} = outcome.event;
			return {
				outcome: {
					kind: 'broken', message: `the engine aborted the stream (${code}): ${message}`, ran: 'ran', tokens, expired: code === 'expired', faultyServer,
				},
				release: code === 'expired' ? 'cancelled' : 'failed',
			};
		}

		case 'lost': {
			return {
				outcome: {
					kind: 'broken', message: `the stream was lost: ${outcome.message}`, ran: 'ran', tokens, expired: false, faultyServer,
				},
				release: outcome.silent ? 'silent' : 'failed',
			};
		}

		case 'stopped': {
			return {outcome: {kind: 'stopped', ran: 'ran', tokens}, release: 'cancelled'};
		}
	}
}
