/** Parses and validates JSON bodies of requests. */
import type {Buffer} from 'node:buffer';
import type {z} from 'zod';
import {failure, type Failure} from '../util/failure.js';

const invalidRequest = (message: string, param?: string): Failure => failure({
	code: 'invalid_request', message, ran: 'not_run', step: 'parse', ...(param === undefined ? {} : {param}),
});

/** Parses and validates a JSON body. The failure names the first invalid field. */
export function parseBody<T>(bytes: Buffer, schema: z.ZodType<T>): {readonly kind: 'parsed'; readonly value: T} | Failure {
	let json: unknown;
	try {
		json = JSON.parse(bytes.toString('utf8'));
	} catch (err) {
		return invalidRequest(`the body is not valid JSON: ${(err as Error).message}`);
	}

	const checked = schema.safeParse(json);
	if (checked.success) {
		return {kind: 'parsed', value: checked.data};
	}

	const issue = checked.error.issues[0]!;
	const path = [...issue.path, ...(issue.code === 'unrecognized_keys' ? issue.keys.slice(0, 1) : [])].join('.');
	return invalidRequest(path === '' ? issue.message : `${path}: ${issue.message}`, path === '' ? undefined : path);
}
