/** Header fields that are passed between callers and plain services (RFC 9110, section 7.6.1). */
import type {PlainHeaders} from '../backend/plain-service-protocol.js';
import {fieldsNotPassedOn} from '../http/connection-headers.js';

/** Marks the stored answer to a repeated operation. */
export const REPEATED_HEADER = 'x-fireflyport-repeated';

/** Fields of a caller that end here: its credentials, and what fireflyport sets itself. */
const ENDS_HERE = ['host', 'authorization', 'content-length', 'expect', 'x-request-id', 'x-operation-id'];

/** Fields of a service that are meant for fireflyport. */
const FOR_FIREFLYPORT = ['x-backend-boot', 'x-backend-warm', 'x-not-run', 'x-request-id', REPEATED_HEADER];

function without(headers: PlainHeaders, names: readonly string[]): PlainHeaders {
	const dropped = fieldsNotPassedOn(String(headers.connection ?? ''), names);
	return Object.fromEntries(Object.entries(headers).filter(([name, value]) => value !== undefined && !dropped.has(name.toLowerCase())));
}

/** Fields to send to a plain service. */
export const requestHeaders = (headers: PlainHeaders, requestId: string): PlainHeaders => ({...without(headers, ENDS_HERE), 'x-request-id': requestId});

/** Fields to send to a plain service for a non-idempotent operation. Its answer is kept as text, so it is asked for uncompressed. */
export function operationHeaders(headers: PlainHeaders, requestId: string, operation: string): PlainHeaders {
	return {...requestHeaders(headers, requestId), 'accept-encoding': 'identity', 'x-operation-id': operation};
}

/** Fields to send to the caller. */
export const responseHeaders = (headers: PlainHeaders): PlainHeaders => without(headers, FOR_FIREFLYPORT);
