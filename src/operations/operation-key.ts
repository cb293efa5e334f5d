/**
 * Identity of a non-idempotent operation. `Idempotency-Key` has to be a UUID version 7 (RFC 9562), whose timestamp
 * shows whether a claim of it could already have been deleted.
 */
import {createHash} from 'node:crypto';
import {failure, type Failure} from '../util/failure.js';

/** Header in which callers send the key, in the lower case of Node's parsed headers. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** A key this far ahead of the clock is refused, since its claim would be kept longer than stated. */
export const KEY_AHEAD_LIMIT_MS = 5 * 60_000;

const UUID_V7 = /^"?(?<uuid>[\da-f]{8}-[\da-f]{4}-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12})"?$/iv;

/** An operation as claims know it. */
export type OperationIdentity = {
	readonly kind: 'operation';
	/** SHA-256 of workspace, service and key, in hex. */
	readonly operation: string;
	/** Unix time in ms from the key. */
	readonly keyTimeMs: number;
};

/** Where a key was sent, and how long claims are kept. */
export type KeyContext = {
	readonly workspace: string;
	readonly service: string;
	readonly retentionMs: number;
};

/** Returns whether the claim of a key of `keyTimeMs` is certain to be kept still at Unix time `wallNow` (ms). */
export const isKeyRetained = (keyTimeMs: number, retentionMs: number, wallNow: number): boolean => wallNow - keyTimeMs <= retentionMs;

/** Reads the key from a header value. `wallNow` is the present Unix time in ms. */
export function parseOperationKey(header: string | undefined, context: KeyContext, wallNow: number): OperationIdentity | Failure {
	const uuid = UUID_V7.exec(header ?? '')?.groups?.uuid?.toLowerCase();
	if (uuid === undefined) {
		return refusedKey('a non-idempotent call needs the header Idempotency-Key with a UUID version 7 (RFC 9562)');
	}

	const keyTimeMs = Number.parseInt(uuid.replaceAll('-', '').slice(0, 12), 16);
	if (keyTimeMs - wallNow > KEY_AHEAD_LIMIT_MS) {
		return refusedKey(`the timestamp of Idempotency-Key is ${keyTimeMs - wallNow} ms ahead; check the clock of the caller`);
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

const refusedKey = (message: string): Failure => failure({
	code: 'operation_key_invalid', message, ran: 'not_run', step: 'claim', param: IDEMPOTENCY_KEY_HEADER,
});

/** SHA-256 in hex of what a repeat has to have in common with the first request. */
export function digestRequest(method: string, path: string, body: Uint8Array): string {
	return createHash('sha256').update(JSON.stringify([method, path])).update(body).digest('hex');
}
