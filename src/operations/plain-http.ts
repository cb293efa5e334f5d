/** Reads the body of a call to a plain service from an HTTP request, and writes its response. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {pipeline} from 'node:stream/promises';
import {breakOff} from '../http/break-off.js';
import {failure, type Failure} from '../util/failure.js';
import type {PlainAnswer} from './plain-call.js';

/** Maximum size of the request body of a call to a plain service. */
export const MAX_PLAIN_BODY_BYTES = 1024 * 1024;

/** Reads the request body, which must not exceed {@link MAX_PLAIN_BODY_BYTES}. Rejects if the caller aborts the request. */
export async function readPlainBody(req: IncomingMessage): Promise<Buffer | Failure> {
	const chunks: Buffer[] = [];
	let bytes = 0;
	for await (const chunk of req as AsyncIterable<Buffer>) {
		bytes += chunk.length;
		if (bytes > MAX_PLAIN_BODY_BYTES) {
			return failure({
				code: 'request_too_large', message: `the body is larger than ${MAX_PLAIN_BODY_BYTES} bytes`, ran: 'not_run', step: 'parse', param: 'body',
			});
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

/** Writes the response. If its body stream fails, the connection to the caller is destroyed, so that a partial body is not taken for a complete one. */
export async function writePlainAnswer(res: ServerResponse, answer: PlainAnswer, requestId: string): Promise<void> {
	res.statusCode = answer.status;
	for (const [name, value] of Object.entries(answer.headers)) {
		if (value !== undefined) {
			res.setHeader(name, typeof value === 'string' ? value : [...value]);
		}
	}

	res.setHeader('x-request-id', requestId);
	if (Buffer.isBuffer(answer.body)) {
		res.end(answer.body);
		return;
	}

	// Before `pipeline` destroys the response, which closes the connection orderly.
	answer.body.prependListener('error', () => {
		breakOff(res);
	});
	try {
		await pipeline(answer.body, res);
	} catch {
		breakOff(res);
	}
}
