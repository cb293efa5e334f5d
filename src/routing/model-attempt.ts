/** One try to run a model request under one grant: send, relay, free. */
import type {AdmittedRequest} from '../admission/model-admission.js';
import type {DoneEvent, SegmentReference} from '../backend/engine-protocol.js';
import type {GrantedServer} from '../peer/protocol.js';
import type {EngineEvents, EngineFacts, EngineStreams} from '../streams/engine-streams.js';
import type {Held, StreamCleanup} from '../streams/stream-cleanup.js';
import {relayTokens, type RelayOutcome, type TokenSink} from '../streams/token-relay.js';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import type {Grant, ReleaseOutcome} from './reservation.js';
import {silenceLimits} from './silence-limits.js';
import {
	awaitTurn, prefillSegments, splitPrompt, type SegmentFailure, type SegmentParts,
} from './split-prompt.js';

const START_TIMEOUT_MS = 2000;

/**
 * `finished`: complete. `not_run`: known not to have run; `blamed` is the backend server at fault, if any.
 * `broken`: sent, but not completed. `stopped`: the signal was aborted.
 */
export type AttemptOutcome =
	| {readonly kind: 'finished'; readonly done: DoneEvent; readonly sentAt: number; readonly firstTokenAt: number | undefined}
	| {readonly kind: 'not_run'; readonly message: string; readonly blamed?: GrantedServer}
	| {
		readonly kind: 'broken';
		readonly message: string;
		readonly ran: 'ran' | 'unknown';
		readonly tokens: number;
		/** The engine gave up at the deadline. */
		readonly expired: boolean;
		readonly blamed?: GrantedServer;
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
	/** Aborted when the caller has left or the deadline has passed. */
	readonly signal: AbortSignal;
};

/** What an attempt ended with and how its reservation is released. */
type Ended = {readonly outcome: AttemptOutcome; readonly release: ReleaseOutcome};

type Started =
	| ({readonly kind: 'accepted'; readonly events: EngineEvents} & EngineFacts)
	| Ended & {readonly kind: 'ended'};

/** Runs one attempt and releases its grant once the engines hold nothing of it any more. */
export async function runAttempt(parts: AttemptParts, attempt: Attempt): Promise<AttemptOutcome> {
	const {grant, request} = attempt;
	const held: Held[] = [];
	let ended: Ended | undefined;
	try {
		ended = await execute(parts, attempt, held);
		return ended.outcome;
	} finally {
		const firstTokenMs = ended && firstTokenTime(ended.outcome);
		parts.cleanup.free(held, request.deadline, () => {
			grant.release(ended?.release ?? 'failed', firstTokenMs);
		});
	}
}

/** Milliseconds from sending to the first token of a finished attempt. */
function firstTokenTime(outcome: AttemptOutcome): number | undefined {
	return outcome.kind === 'finished' && outcome.firstTokenAt !== undefined ? outcome.firstTokenAt - outcome.sentAt : undefined;
}

async function execute(parts: AttemptParts, attempt: Attempt, held: Held[]): Promise<Ended> {
	const {grant, request, signal} = attempt;
	const {clock} = parts;
	if (signal.aborted) {
		return {outcome: {kind: 'stopped', ran: 'not_run', tokens: 0}, release: 'not_sent'};
	}

	const prompts = splitPrompt(request.prompt, grant.servers.map(server => server.tokens));
	const segments = await prefillSegments(parts, {
		grant,
		model: request.model,
		parts: prompts.slice(0, -1),
		prefillTokensPerSecond: request.service.prefillTokensPerSecond,
		deadline: request.deadline,
		signal,
		held,
	});
	if (segments.kind === 'failed') {
		return notStarted(segments.server, segments.cause, held.length > 0, signal);
	}

	const sentAt = clock();
	const started = await start(parts, attempt, held, {prompt: prompts.at(-1)!, segments: segments.references});
	return started.kind === 'ended' ? started : relay(parts, attempt, started.events, sentAt);
}

/** Nothing was accepted at `server`, nothing has reached the caller; earlier segments may have run. */
function notStarted(server: GrantedServer, cause: SegmentFailure, anyRan: boolean, signal: AbortSignal): Ended {
	if (signal.aborted) {
		return {outcome: {kind: 'stopped', ran: anyRan ? 'ran' : 'not_run', tokens: 0}, release: 'cancelled'};
	}

	const isAtFault = cause.kind !== 'not_activated' && cause.kind !== 'withheld';
	const fault = {message: `sending to ${server.id}: ${cause.message}`, ...(isAtFault ? {blamed: server} : {})};
	const outcome: AttemptOutcome = anyRan
		? {
			kind: 'broken', ran: 'ran', tokens: 0, expired: false, ...fault,
		}
		: {kind: 'not_run', ...fault};
	const unused = anyRan ? 'cancelled' : 'not_sent';
	return {outcome, release: isAtFault ? 'failed' : unused};
}

/** Starts the stream on the last server of the grant and acknowledges it. */
async function start(
	parts: AttemptParts,
	{grant, request, signal}: Attempt,
	held: Held[],
	{prompt, segments}: {readonly prompt: string; readonly segments: readonly SegmentReference[]},
): Promise<Started> {
	const {engine, clock} = parts;
	const server = grant.servers.at(-1)!;
	const anyRan = held.length > 0;
	const remainingMs = request.deadline - clock();
	if (signal.aborted || remainingMs <= 0) {
		return {kind: 'ended', outcome: {kind: 'stopped', ran: anyRan ? 'ran' : 'not_run', tokens: 0}, release: 'cancelled'};
	}

	const turn = await awaitTurn(parts, grant, grant.servers.length - 1, signal);
	if (turn.kind !== 'turn') {
		return {kind: 'ended', ...notStarted(server, turn, anyRan, signal)};
	}

	const {address} = server;
	const timeoutMs = Math.min(START_TIMEOUT_MS, remainingMs);
	const outcome = await engine.start(address, {
		id: grant.id, model: request.model, prompt, maxTokens: request.maxTokens, priority: grant.enginePriority, remainingMs, segments,
	}, {timeoutMs, signal, maySend: turn.maySend});
	if (outcome.kind !== 'accepted' && outcome.kind !== 'unknown') {
		return {kind: 'ended', ...notStarted(server, outcome, anyRan, signal)};
	}

	// An answer that was lost may belong to a stream that runs: ask for it on a new connection.
	const known = outcome.kind === 'accepted' || signal.aborted ? outcome : await engine.resume(address, grant.id, 0, {timeoutMs, signal});
	held.push({
		kind: 'stream', address, id: grant.id, uncertain: known.kind !== 'accepted',
	});
	if (known.kind === 'accepted') {
		grant.acknowledge({server: server.id, boot: known.boot, warm: known.warm});
		return known;
	}

	if (signal.aborted) {
		return {kind: 'ended', outcome: {kind: 'stopped', ran: 'unknown', tokens: 0}, release: 'cancelled'};
	}

	return {
		kind: 'ended',
		outcome: {
			kind: 'broken', message: `starting the stream: ${outcome.kind === 'unknown' ? outcome.message : ''}`, ran: 'unknown', tokens: 0, expired: false, blamed: server,
		},
		release: 'silent',
	};
}

async function relay({engine, clock, logger}: AttemptParts, {requestId, grant, request, sink, signal}: Attempt, events: EngineEvents, sentAt: number): Promise<Ended> {
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
	return relayEnded(outcome, server, sentAt);
}

function relayEnded(outcome: RelayOutcome, blamed: GrantedServer, sentAt: number): Ended {
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
					kind: 'broken', message: `the engine gave up (${code}): ${message}`, ran: 'ran', tokens, expired: code === 'expired', blamed,
				},
				release: code === 'expired' ? 'cancelled' : 'failed',
			};
		}

		case 'lost': {
			return {
				outcome: {
					kind: 'broken', message: `the stream was lost: ${outcome.message}`, ran: 'ran', tokens, expired: false, blamed,
				},
				release: outcome.silent ? 'silent' : 'failed',
			};
		}

		case 'stopped': {
			return {outcome: {kind: 'stopped', ran: 'ran', tokens}, release: 'cancelled'};
		}
	}
}
