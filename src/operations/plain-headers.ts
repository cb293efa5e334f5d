/** Filters the header fields that are forwarded between callers and plain services (RFC 9110, section 7.6.1). */
import type {PlainHeaders} from '../backend/plain-service-protocol.js';
import {headersToRemove} from '../http/connection-headers.js';

/** Response header that marks a stored response to a repeated operation. */
export const REPEATED_HEADER = 'x-fireflyport-repeated';

/** Request fields that are not forwarded: the caller's credentials, and fields that fireflyport sets itself. */
const REQUEST_FIELDS_REMOVED = ['host', 'authorization', 'content-length', 'expect', 'x-request-id', 'x-operation-id'];

/** Response fields of a service that are not forwarded, because they are addressed to fireflyport or set by it. */
const RESPONSE_FIELDS_REMOVED = ['x-backend-boot', 'x-backend-warm', 'x-not-run', 'x-request-id', REPEATED_HEADER];

function removeFields(headers: PlainHeaders, names: readonly string[]): PlainHeaders {
	const dropped = headersToRemove(String(headers.connection ?? ''), names);
	return Object.fromEntries(Object.entries(headers).filter(([name, value]) => value !== undefined && !dropped.has(name.toLowerCase())));
}

/** Header fields to send to a plain service. */
export const requestHeaders = (headers: PlainHeaders, requestId: string): PlainHeaders => ({...removeFields(headers, REQUEST_FIELDS_REMOVED), 'x-request-id': requestId});

/** Header fields to send to a plain service for a non-idempotent operation. The response is stored as text, so compression is disabled. */
export function operationHeaders(headers: PlainHeaders, requestId: string, operation: string): PlainHeaders {
	return {...requestHeaders(headers, requestId), 'accept-encoding': 'identity', 'x-operation-id': operation};
}

/** Header fields to send to the caller. */
export const responseHeaders = (headers: PlainHeaders): PlainHeaders => removeFields(headers, RESPONSE_FIELDS_REMOVED);
