/** In-memory state of one claim object, and the application of message batches to it. */
import {Buffer} from 'node:buffer';
import type {StoredObject, WriteCondition} from '../object-api/object-api.js';
import type {Claim, ClaimAnswer, Settle} from '../peer/protocol.js';
import {
	applyClaim, applySettle, claimObjectSchema, decodeOperation, decodeRecord, encodeOperation, encodeRecord, type ClaimRecord, type ClaimTuple,
} from './claim-record.js';

/** Maximum estimated size of a claim object, below the 1 MB limit of the object API. */
const MAX_OBJECT_BYTES = 900_000;

/** A message to a claim partition. */
export type ClaimMessage =
	| {readonly kind: 'claim'; readonly claim: Claim}
	| {readonly kind: 'settle'; readonly settle: Settle};

/** Answer to a message. `recorded` answers a settlement. */
export type MessageAnswer =
	| ClaimAnswer
	| {readonly kind: 'recorded'};

/** Effect of a batch: the answers in the order of the messages, and the state to write if anything changes. */
export type BatchPlan = {
	readonly answers: readonly MessageAnswer[];
	readonly next?: ClaimState;
};

type Entry = {readonly record: ClaimRecord; readonly bytes: number};

/** The 48 bytes cover the key: 43 characters of base64url, quotes and separators. */
const createEntry = (record: ClaimRecord): Entry => ({record, bytes: Buffer.byteLength(JSON.stringify(encodeRecord(record))) + 48});

/** Immutable state of a claim object. */
export class ClaimState {
	/** The state of an object that does not exist. */
	static empty(): ClaimState {
		return new ClaimState(new Map(), 0, {kind: 'absent'});
	}

	/** Decodes a stored object. Returns undefined if it is not a claim object. */
	static read(object: StoredObject): ClaimState | undefined {
		const parsed = claimObjectSchema.safeParse(object.value);
		if (!parsed.success) {
			return undefined;
		}

		const entries = new Map<string, Entry>();
		let bytes = 0;
		for (const [operation, tuple] of Object.entries(parsed.data.claims)) {
			const entry = createEntry(decodeRecord(tuple));
			entries.set(decodeOperation(operation), entry);
			bytes += entry.bytes;
		}

		return new ClaimState(entries, bytes, {kind: 'version', version: object.version});
	}

	readonly #entries: ReadonlyMap<string, Entry>;
	readonly #bytes: number;

	private constructor(entries: ReadonlyMap<string, Entry>, bytes: number, readonly condition: WriteCondition) {
		this.#entries = entries;
		this.#bytes = bytes;
	}

	/** Returns the same records with the version that the object received when they were written. */
	written(version: number): ClaimState {
		return new ClaimState(this.#entries, this.#bytes, {kind: 'version', version});
	}

	/** Computes the effect of messages, applied in order. `wallNow` is Unix time in ms. */
	plan(messages: readonly ClaimMessage[], wallNow: number): BatchPlan {
		const entries = new Map(this.#entries);
		const answers: MessageAnswer[] = [];
		let bytes = this.#bytes;
		let isChanged = false;
		for (const message of messages) {
			const operation = message.kind === 'claim' ? message.claim.operation : message.settle.operation;
			const step = applyMessage(entries.get(operation)?.record, message, wallNow);
			const entry = step.record && createEntry(step.record);
			const newSize = bytes + (entry ? entry.bytes - (entries.get(operation)?.bytes ?? 0) : 0);
			if (entry && message.kind === 'claim' && newSize > MAX_OBJECT_BYTES) {
				answers.push({kind: 'unavailable', message: 'the claim object for this time bucket and partition is full', unwritten: true});
				continue;
			}

			if (entry) {
				entries.set(operation, entry);
				bytes = newSize;
				isChanged = true;
			}

			answers.push(step.answer);
		}

		return isChanged ? {answers, next: new ClaimState(entries, dropBodies(entries, bytes), this.condition)} : {answers};
	}

	/** The value to store. */
	encode(): {readonly formatVersion: 1; readonly claims: Readonly<Record<string, ClaimTuple>>} {
		const claims = [...this.#entries].map(([operation, {record}]) => [encodeOperation(operation), encodeRecord(record)] as const);
		return {formatVersion: 1, claims: Object.fromEntries(claims)};
	}
}

function applyMessage(record: ClaimRecord | undefined, message: ClaimMessage, wallNow: number): {readonly record?: ClaimRecord; readonly answer: MessageAnswer} {
	return message.kind === 'claim'
		? applyClaim(record, message.claim, wallNow)
		: {record: applySettle(record, message.settle), answer: {kind: 'recorded'}};
}

/** Drops stored response bodies, oldest record first, until the object fits. Statuses are kept. Returns the new size. */
function dropBodies(entries: Map<string, Entry>, bytes: number): number {
	let totalBytes = bytes;
	for (const [operation, {record, bytes: size}] of entries) {
		if (totalBytes <= MAX_OBJECT_BYTES) {
			break;
		}

		if (record.state === 'done' && record.response.body !== undefined) {
			const withoutBody = createEntry({...record, response: {...record.response, body: undefined}});
			entries.set(operation, withoutBody);
			totalBytes += withoutBody.bytes - size;
		}
	}

	return totalBytes;
}
