/**
 * Identity of a non-idempotent operation. `Idempotency-Key` must be a UUID version 7 (RFC 9562), whose timestamp shows whether
 * the claim of the key may already have been deleted.
 */
import {createHash} from 'node:crypto';
import {failure, type Failure} from '../util/failure.js';

/** Request header that contains the key, in lower case as in Node's parsed headers. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** Keys further ahead of the clock are refused, since their claims would be kept longer than the retention. */
export const MAX_KEY_AHEAD_MS = 5 * 60_000;

const UUID_V7 = /^"?(?<uuid>[\da-f]{8}-[\da-f]{4}-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12})"?$/iv;

/** Identity under which an operation is claimed. */
export type OperationIdentity = {
	readonly kind: 'operation';
	/** SHA-256 of workspace, service and key, in hex. */
	readonly operation: string;
	/** Unix time in ms from the timestamp of the key. */
	readonly keyTimeMs: number;
};

/** Scope in which a key identifies an operation, and the retention of claims in ms. */
export type KeyContext = {
	readonly workspace: string;
	readonly service: string;
	readonly retentionMs: number;
};

/** Whether the claim of a key with timestamp `keyTimeMs` is guaranteed to be still stored at Unix time `wallNow` (ms). */
export const isKeyRetained = (keyTimeMs: number, retentionMs: number, wallNow: number): boolean => wallNow - keyTimeMs <= retentionMs;

/** Parses the value of the key header. `wallNow` is the current Unix time in ms. */
export function parseOperationKey(header: string | undefined, context: KeyContext, wallNow: number): OperationIdentity | Failure {
	const uuid = UUID_V7.exec(header ?? '')?.groups?.uuid?.toLowerCase();
	if (uuid === undefined) {
		return invalidKey('a non-idempotent call requires an Idempotency-Key header that contains a UUID version 7 (RFC 9562)');
	}

	const keyTimeMs = Number.parseInt(uuid.replaceAll('-', '').slice(0, 12), 16);
	if (keyTimeMs - wallNow > MAX_KEY_AHEAD_MS) {
		return invalidKey(`the timestamp of Idempotency-Key is ${keyTimeMs - wallNow} ms in the future; check the clock of the caller`);
	}

	if (!isKeyRetained(keyTimeMs, context.retentionMs, wallNow)) {
		return failure({
			code: 'operation_expired',
			message: `Idempotency-Key is older than ${context.retentionMs} ms, so it is no longer known whether its operation ran`,
			ran: 'unknown',
			step: 'claim',
			param: IDEMPOTENCY_KEY_HEADER,
		});
	}

	const operation = createHash('sha256').update(JSON.stringify([context.workspace, context.service, uuid])).digest('hex');
	return {kind: 'operation', operation, keyTimeMs};
}

const invalidKey = (message: string): Failure => failure({
	code: 'operation_key_invalid', message, ran: 'not_run', step: 'claim', param: IDEMPOTENCY_KEY_HEADER,
});

/** SHA-256, in hex, of the parts of a request that must be the same in a repeat. */
export function digestRequest(method: string, path: string, body: Uint8Array): string {
	return createHash('sha256').update(JSON.stringify([method, path])).update(body).digest('hex');
}
