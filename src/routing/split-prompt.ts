/** Splits a prompt over several engines and prefills its segments in sequence. */
import {Buffer} from 'node:buffer';
import type {SegmentReference} from '../backend/engine-protocol.js';
import type {GrantedServer} from '../peer/protocol.js';
import type {EngineStreams, NotStarted} from '../streams/engine-streams.js';
import type {HeldResource} from '../streams/stream-cleanup.js';
import {BYTES_PER_TOKEN} from '../util/length-class.js';
import type {Clock} from '../util/clock.js';
import type {Grant} from './reservation.js';
import type {Reservations} from './reservations.js';

const SEGMENT_START_TIMEOUT_MS = 2000;

/**
 * Splits `prompt` into one part for each entry of `tokens`, at UTF-8 character boundaries. The last part contains the
 * remainder.
 */
export function splitPrompt(prompt: string, tokens: readonly number[]): readonly string[] {
	const bytes = Buffer.from(prompt);
	const parts: string[] = [];
	let from = 0;
	for (const [index, count] of tokens.entries()) {
		const isLast = index === tokens.length - 1;
		const to = isLast ? bytes.length : characterStart(bytes, Math.min(bytes.length, from + (count * BYTES_PER_TOKEN)));
		parts.push(bytes.toString('utf8', from, to));
		from = to;
	}

	return parts;
}

/** Start of the UTF-8 character that contains the byte at `offset`. Continuation bytes are 10xxxxxx. */
function characterStart(bytes: Uint8Array, offset: number): number {
	let start = offset;
	while (start < bytes.length && start > 0 && bytes[start]! >= 0x80 && bytes[start]! < 0xC0) {
		start--;
	}

	return start;
}

export type SplitPrefill = {
	readonly grant: Grant;
	readonly model: string;
	/** One part for each server of the grant except the last. */
	readonly prompts: readonly string[];
	readonly prefillTokensPerSecond: number;
	/** Monotonic ms. */
	readonly deadline: number;
	readonly signal: AbortSignal;
	/** Collects every segment that an engine may hold, also when a later step fails. */
	readonly held: HeldResource[];
};

/** `kept`: the engines hold all segments. `failed`: the server and cause of the first segment that failed. */
export type SegmentsOutcome =
	| {readonly kind: 'kept'; readonly references: readonly SegmentReference[]}
	| {readonly kind: 'failed'; readonly server: GrantedServer; readonly cause: SegmentFailure};

/** `not_activated`: the coordinator did not activate the server; the backend server is not at fault. */
export type SegmentFailure =
	| NotStarted
	| {readonly kind: 'lost'; readonly message: string}
	| {readonly kind: 'not_activated'; readonly message: string};

/** Permission to send to one server of a grant. `maySend` as in {@link EngineCallOptions}. */
export type SendPermission = {
	readonly kind: 'permitted';
	maySend(): string | undefined;
};

/** Dependencies of {@link awaitSendPermission}. */
export type SendPermissionSource = {
	readonly reservations: Pick<Reservations, 'activate'>;
	readonly clock: Clock;
};

/** Waits until server `index` of a grant is activated. The grant itself activates the first server. */
export async function awaitSendPermission({reservations, clock}: SendPermissionSource, grant: Grant, index: number, signal: AbortSignal): Promise<SendPermission | SegmentFailure> {
	const activation = index === 0
		? {kind: 'activated', validUntil: grant.validUntil} as const
		: await reservations.activate(grant, grant.servers[index]!.id, signal);
	if (activation.kind === 'refused') {
		return {kind: 'not_activated', message: activation.message};
	}

	return {
		kind: 'permitted',
		// The process may have been paused since the grant, so the expiry is checked again right before sending.
		maySend: () => clock() >= activation.validUntil ? 'the grant expired before the request could be sent' : undefined,
	};
}

/** A segment is considered lost when its prefill takes longer than this multiple of the estimate plus a margin for the engine's queue. */
const PREFILL_FACTOR = 4;
const PREFILL_MARGIN_MS = 10_000;

export type SegmentParts = SendPermissionSource & {readonly engine: EngineStreams};

/** Prefills all segments in order and stops at the first failure. */
export async function prefillSegments(parts: SegmentParts, split: SplitPrefill): Promise<SegmentsOutcome> {
	const references: SegmentReference[] = [];
	for (const [index, prompt] of split.prompts.entries()) {
		const server = split.grant.servers[index]!;
		const permission = await awaitSendPermission(parts, split.grant, index, split.signal);
		if (permission.kind !== 'permitted') {
			return {kind: 'failed', server, cause: permission};
		}

		const id = `${split.grant.id}.segment${index}`;
		const cause = await prefillSegment(parts, split, {
			server, id, prompt, permission, previous: [...references],
		});
		if (cause.kind !== 'kept') {
			return {kind: 'failed', server, cause};
		}

		references.push({address: server.address, id, tokens: cause.tokens});
	}

	return {kind: 'kept', references};
}

type Segment = {
	readonly server: GrantedServer;
	readonly id: string;
	readonly prompt: string;
	readonly permission: SendPermission;
	readonly previous: readonly SegmentReference[];
};

async function prefillSegment({engine, clock}: SegmentParts, split: SplitPrefill, segment: Segment) {
	const {server, id, prompt, permission, previous} = segment;
	const remainingMs = split.deadline - clock();
	if (remainingMs <= 0) {
		return {kind: 'lost', message: 'the deadline passed'} as const;
	}

	const outcome = await engine.prefillSegment(server.address, {
		id, model: split.model, prompt, previous, remainingMs, priority: split.grant.enginePriority,
	}, {timeoutMs: Math.min(SEGMENT_START_TIMEOUT_MS, remainingMs), signal: split.signal, maySend: permission.maySend});
	if (outcome.kind !== 'accepted' && outcome.kind !== 'unknown') {
		return outcome;
	}

	split.held.push({
		kind: 'segment', address: server.address, id, mayArriveLate: outcome.kind === 'unknown',
	});
	if (outcome.kind === 'unknown') {
		return outcome;
	}

	split.grant.acknowledge({server: server.id, boot: outcome.boot, warm: outcome.warm});
	const expectedMs = server.tokens / split.prefillTokensPerSecond * 1000;
	const limitMs = Math.min((expectedMs * PREFILL_FACTOR) + PREFILL_MARGIN_MS, Math.max(0, split.deadline - clock()));
	const finished = await outcome.finished(limitMs);
	if (finished.kind === 'failed') {
		return {kind: 'lost', message: finished.message} as const;
	}

	split.grant.prefilled(server.id);
	return finished;
}
