/**
 * The record of one operation, and the state transitions that claims and settlements cause.
 * The functions are pure; `claim-partition.ts` stores the records.
 */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import type {
	Claim, ClaimAnswer, Settle, StoredResponse,
} from '../peer/protocol.js';

/** Number of released attempts kept in a record. More than this many per operation are not expected. */
const MAX_RELEASED_ATTEMPTS = 8;

/** State of an operation. `releasedAttempts` were abandoned before sending and can never hold the claim again. */
export type ClaimRecord =
	| {readonly state: 'released'; readonly releasedAttempts: readonly string[]}
	| {
		readonly state: 'claimed';
		readonly attempt: string;
		readonly requestDigest: string;
		/** Unix time in ms, by the clock of the daemon that recorded the claim. */
		readonly claimedAtMs: number;
		readonly releasedAttempts: readonly string[];
	}
	| {readonly state: 'done'; readonly requestDigest: string; readonly response: StoredResponse};

/** Result of a claim: the answer, and the new record if it changes. */
export type ClaimTransition = {readonly record?: ClaimRecord; readonly answer: ClaimAnswer};

/** Applies a claim to the record of its operation. `wallNow` is Unix time in ms. */
export function applyClaim(record: ClaimRecord | undefined, claim: Claim, wallNow: number): ClaimTransition {
	if (record?.state === 'done') {
		const {requestDigest, response} = record;
		return {answer: requestDigest === claim.requestDigest ? {kind: 'done', response, requestDigest} : {kind: 'mismatch'}};
	}

	const releasedAttempts = record?.releasedAttempts ?? [];
	if (releasedAttempts.includes(claim.attempt)) {
		return {answer: {kind: 'unavailable', message: `attempt ${claim.attempt} was released before its claim was recorded`}};
	}

	if (record?.state === 'claimed') {
		return {answer: answerWhileClaimed(record, claim, wallNow)};
	}

	const {attempt, requestDigest} = claim;
	return {
		record: {
			state: 'claimed', attempt, requestDigest, claimedAtMs: wallNow, releasedAttempts,
		},
		answer: {kind: 'claimed'},
	};
}

function answerWhileClaimed(record: ClaimRecord & {readonly state: 'claimed'}, claim: Claim, wallNow: number): ClaimAnswer {
	if (record.attempt === claim.attempt) {
		return {kind: 'claimed'};
	}

	if (record.requestDigest !== claim.requestDigest) {
		return {kind: 'mismatch'};
	}

	return {kind: 'held', attempt: record.attempt, ageMs: Math.max(0, wallNow - record.claimedAtMs)};
}

/** Applies a settlement. Returns the new record, or undefined if the settlement changes nothing. */
export function applySettle(record: ClaimRecord | undefined, settle: Settle): ClaimRecord | undefined {
	return settle.result.kind === 'released'
		? applyRelease(record, settle.attempt)
		: applyDone(record, settle.result.response);
}

/** A release creates a record if there is none, so that a claim of the same attempt that is still in flight is refused. */
function applyRelease(record: ClaimRecord | undefined, attempt: string): ClaimRecord | undefined {
	if (record?.state === 'done' || record?.releasedAttempts.includes(attempt)) {
		return undefined;
	}

	const releasedAttempts = [...record?.releasedAttempts ?? [], attempt].slice(-MAX_RELEASED_ATTEMPTS);
	return record?.state === 'claimed' && record.attempt !== attempt
		? {...record, releasedAttempts}
		: {state: 'released', releasedAttempts};
}

const applyDone = (record: ClaimRecord | undefined, response: StoredResponse): ClaimRecord | undefined =>
	record?.state === 'claimed' ? {state: 'done', requestDigest: record.requestDigest, response} : undefined;

const claimedTuple = z.tuple([z.literal('c'), z.string(), z.string(), z.number(), z.array(z.string())]);
const releasedTuple = z.tuple([z.literal('r'), z.array(z.string())]);
const doneTuple = z.tuple([z.literal('d'), z.string(), z.number().int(), z.string(), z.string().optional()]);

/** Stored form of a record. Tuples save space over named fields: thousands of records share one object of at most 1 MB. */
const tupleSchema = z.union([claimedTuple, releasedTuple, doneTuple]);
export type ClaimTuple = z.infer<typeof tupleSchema>;

/** Value of a claim object: records by operation, whose identity is encoded in base64url instead of hex to save space. */
export const claimObjectSchema = z.object({
	formatVersion: z.literal(1),
	claims: z.record(z.string(), tupleSchema),
});

const hexToBase64Url = (hex: string): string => Buffer.from(hex, 'hex').toString('base64url');
const base64UrlToHex = (text: string): string => Buffer.from(text, 'base64url').toString('hex');

/** Encodes a record for {@link claimObjectSchema}. */
export function encodeRecord(record: ClaimRecord): ClaimTuple {
	switch (record.state) {
		case 'claimed': {
			return ['c', record.attempt, hexToBase64Url(record.requestDigest), record.claimedAtMs, [...record.releasedAttempts]];
		}

		case 'released': {
			return ['r', [...record.releasedAttempts]];
		}

		case 'done': {
			const {status, contentType, body} = record.response;
			const digest = hexToBase64Url(record.requestDigest);
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
				state: 'claimed', attempt, requestDigest: base64UrlToHex(digest), claimedAtMs, releasedAttempts,
			};
		}

		case 'r': {
			return {state: 'released', releasedAttempts: tuple[1]};
		}

		case 'd': {
			const [, digest, status, contentType, body] = tuple;
			return {state: 'done', requestDigest: base64UrlToHex(digest), response: {status, contentType, body}};
		}
	}
}

/** Encodes an operation identity (hex) as a key of {@link claimObjectSchema}. */
export const encodeOperation = hexToBase64Url;

/** Decodes what {@link encodeOperation} returned. */
export const decodeOperation = base64UrlToHex;
