/** Records of one claim object as last read or written, and the next state that a batch of messages asks for. */
import {Buffer} from 'node:buffer';
import type {StoredObject, WriteCondition} from '../object-api/object-api.js';
import type {Claim, ClaimAnswer, Settle} from '../peer/protocol.js';
import {
	applyClaim, applySettle, claimObjectSchema, decodeOperation, decodeRecord, encodeOperation, encodeRecord, type ClaimRecord, type ClaimTuple,
} from './claim-record.js';

/** Largest value that is written, below the object API's 1 MB. */
const MAX_OBJECT_BYTES = 900_000;

/** A message that waits for a partition. */
export type ClaimMessage =
	| {readonly kind: 'claim'; readonly claim: Claim}
	| {readonly kind: 'settle'; readonly settle: Settle};

/** Answer to a message that has been recorded or needs no write. */
export type MessageAnswer =
	| ClaimAnswer
	| {readonly kind: 'recorded'};

/** What a batch does: the answers in its order, and the state to write where it changes anything. */
export type BatchPlan = {
	readonly answers: readonly MessageAnswer[];
	readonly next?: ClaimState;
};

type Entry = {readonly record: ClaimRecord; readonly bytes: number};

const entryOf = (record: ClaimRecord): Entry => ({record, bytes: Buffer.byteLength(JSON.stringify(encodeRecord(record))) + 48});

/** Immutable state of a claim object. */
export class ClaimState {
	/** The state of an object that does not exist. */
	static empty(): ClaimState {
		return new ClaimState(new Map(), 0, {kind: 'absent'});
	}

	/** Reads a stored object; undefined when it is not a claim object. */
	static read(object: StoredObject): ClaimState | undefined {
		const parsed = claimObjectSchema.safeParse(object.value);
		if (!parsed.success) {
			return undefined;
		}

		const entries = new Map<string, Entry>();
		let bytes = 0;
		for (const [operation, tuple] of Object.entries(parsed.data.claims)) {
			const entry = entryOf(decodeRecord(tuple));
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

	/** The same records under the version that a write of them received. */
	written(version: number): ClaimState {
		return new ClaimState(this.#entries, this.#bytes, {kind: 'version', version});
	}

	/** Applies messages in order. `wallNow` is Unix time in ms. */
	plan(messages: readonly ClaimMessage[], wallNow: number): BatchPlan {
		const entries = new Map(this.#entries);
		const answers: MessageAnswer[] = [];
		let bytes = this.#bytes;
		let changed = false;
		for (const message of messages) {
			const operation = message.kind === 'claim' ? message.claim.operation : message.settle.operation;
			const step = applyMessage(entries.get(operation)?.record, message, wallNow);
			const entry = step.record && entryOf(step.record);
			const grown = bytes + (entry ? entry.bytes - (entries.get(operation)?.bytes ?? 0) : 0);
			if (entry && message.kind === 'claim' && grown > MAX_OBJECT_BYTES) {
				answers.push({kind: 'unavailable', message: 'the claim object of this time and partition is full', unwritten: true});
				continue;
			}

			if (entry) {
				entries.set(operation, entry);
				bytes = grown;
				changed = true;
			}

			answers.push(step.answer);
		}

		return changed ? {answers, next: new ClaimState(entries, dropBodies(entries, bytes), this.condition)} : {answers};
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

/** Gives up kept response bodies, oldest record first, until the object fits; statuses stay. Returns the size. */
function dropBodies(entries: Map<string, Entry>, bytes: number): number {
	let left = bytes;
	for (const [operation, {record, bytes: size}] of entries) {
		if (left <= MAX_OBJECT_BYTES) {
			break;
		}

		if (record.state === 'done' && record.response.body !== undefined) {
			const shorter = entryOf({...record, response: {...record.response, body: undefined}});
			entries.set(operation, shorter);
			left += shorter.bytes - size;
		}
	}

	return left;
}
