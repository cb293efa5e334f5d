/**
 * What is recorded of one operation, and how claims and settlements change it.
 * The rules are pure; recording them safely is the task of `claim-partition.ts`.
 */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import type {
	Claim, ClaimAnswer, Settle, StoredResponse,
} from '../peer/protocol.js';

/** Attempts of one operation that are remembered as released; more than this many are not expected. */
const RELEASED_ATTEMPTS_KEPT = 8;

/** State of an operation. `releasedAttempts` gave up before sending and can never hold the claim again. */
export type ClaimRecord =
	| {readonly state: 'released'; readonly releasedAttempts: readonly string[]}
	| {
		readonly state: 'claimed';
		readonly attempt: string;
		readonly requestDigest: string;
		/** Unix time in ms at the daemon that recorded it. */
		readonly claimedAtMs: number;
		readonly releasedAttempts: readonly string[];
	}
	| {readonly state: 'done'; readonly requestDigest: string; readonly response: StoredResponse};

/** A record and the answer that follows from it; without `record` nothing changes. */
export type ClaimStep = {readonly record?: ClaimRecord; readonly answer: ClaimAnswer};

/** Decides a claim on the record of its operation. `wallNow` is Unix time in ms. */
export function applyClaim(record: ClaimRecord | undefined, claim: Claim, wallNow: number): ClaimStep {
	if (record?.state === 'done') {
		const {requestDigest, response} = record;
		return {answer: requestDigest === claim.requestDigest ? {kind: 'done', response, requestDigest} : {kind: 'mismatch'}};
	}

	const releasedAttempts = record?.releasedAttempts ?? [];
	if (releasedAttempts.includes(claim.attempt)) {
		return {answer: {kind: 'unavailable', message: `attempt ${claim.attempt} was released before its claim was recorded`}};
	}

	if (record?.state === 'claimed') {
		return {answer: answerFromHeld(record, claim, wallNow)};
	}

	const {attempt, requestDigest} = claim;
	return {
		record: {
			state: 'claimed', attempt, requestDigest, claimedAtMs: wallNow, releasedAttempts,
		},
		answer: {kind: 'claimed'},
	};
}

function answerFromHeld(record: ClaimRecord & {readonly state: 'claimed'}, claim: Claim, wallNow: number): ClaimAnswer {
	if (record.attempt === claim.attempt) {
		return {kind: 'claimed'};
	}

	if (record.requestDigest !== claim.requestDigest) {
		return {kind: 'mismatch'};
	}

	return {kind: 'held', attempt: record.attempt, ageMs: Math.max(0, wallNow - record.claimedAtMs)};
}

/** Returns the record after a settlement, or undefined where it changes nothing. */
export function applySettle(record: ClaimRecord | undefined, settle: Settle): ClaimRecord | undefined {
	return settle.result.kind === 'released'
		? applyRelease(record, settle.attempt)
		: applyDone(record, settle.result.response);
}

/** A release without a record leaves one, so that a claim of that attempt that is still on its way is refused. */
function applyRelease(record: ClaimRecord | undefined, attempt: string): ClaimRecord | undefined {
	if (record?.state === 'done' || record?.releasedAttempts.includes(attempt)) {
		return undefined;
	}

	const releasedAttempts = [...record?.releasedAttempts ?? [], attempt].slice(-RELEASED_ATTEMPTS_KEPT);
	return record?.state === 'claimed' && record.attempt !== attempt
		? {...record, releasedAttempts}
		: {state: 'released', releasedAttempts};
}

const applyDone = (record: ClaimRecord | undefined, response: StoredResponse): ClaimRecord | undefined =>
	record?.state === 'claimed' ? {state: 'done', requestDigest: record.requestDigest, response} : undefined;

const claimedTuple = z.tuple([z.literal('c'), z.string(), z.string(), z.number(), z.array(z.string())]);
const releasedTuple = z.tuple([z.literal('r'), z.array(z.string())]);
const doneTuple = z.tuple([z.literal('d'), z.string(), z.number().int(), z.string(), z.string().optional()]);

/** A record as stored: tuples instead of named fields, since thousands share one object of at most 1 MB. */
const tupleSchema = z.union([claimedTuple, releasedTuple, doneTuple]);
export type ClaimTuple = z.infer<typeof tupleSchema>;

/** The value of a claim object: records by operation, in base64url instead of hex. */
export const claimObjectSchema = z.object({
	formatVersion: z.literal(1),
	claims: z.record(z.string(), tupleSchema),
});

const compact = (hex: string): string => Buffer.from(hex, 'hex').toString('base64url');
const expand = (text: string): string => Buffer.from(text, 'base64url').toString('hex');

/** Encodes a record for {@link claimObjectSchema}. */
export function encodeRecord(record: ClaimRecord): ClaimTuple {
	switch (record.state) {
		case 'claimed': {
			return ['c', record.attempt, compact(record.requestDigest), record.claimedAtMs, [...record.releasedAttempts]];
		}

		case 'released': {
			return ['r', [...record.releasedAttempts]];
		}

		case 'done': {
			const {status, contentType, body} = record.response;
			const digest = compact(record.requestDigest);
			return body === undefined ? ['d', digest, status, contentType] : ['d', digest, status, contentType, body];
		}
	}
}

/** Decodes what {@link encodeRecord} returned. */
export function decodeRecord(tuple: ClaimTuple): ClaimRecord {
	switch (tuple[0]) {
		case 'c': {
			const [, attempt, digest, claimedAtMs, releasedAttempts] = tuple;
			return {
				state: 'claimed', attempt, requestDigest: expand(digest), claimedAtMs, releasedAttempts,
			};
		}

		case 'r': {
			return {state: 'released', releasedAttempts: tuple[1]};
		}

		case 'd': {
			const [, digest, status, contentType, body] = tuple;
			return {state: 'done', requestDigest: expand(digest), response: {status, contentType, body}};
		}
	}
}

/** Encodes an operation identity (hex) as key of {@link claimObjectSchema}. */
export const encodeOperation = compact;

/** Decodes what {@link encodeOperation} returned. */
export const decodeOperation = expand;
