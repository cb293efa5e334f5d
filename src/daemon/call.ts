/** One request of a caller, from its arrival to the end of its response. */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ConfigurationIndex, ConfigurationIndexes} from '../admission/configuration-index.js';
import type {Workspace} from '../configuration/schema.js';
import {failure, type Failure} from '../util/failure.js';

const REQUEST_ID_HEADER = 'x-request-id';
const NOT_READY_RETRY_MS = 1000;

/** What handlers of the HTTP front work on. */
export type Call = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly requestId: string;
	readonly method: string;
	/** Path without the query. */
	readonly path: string;
	/** Monotonic ms. */
	readonly arrivedAt: number;
	/** Aborted when the caller closes the connection before the response is complete. */
	readonly signal: AbortSignal;
	/** Pairs for the log line of this request, added by handlers. */
	readonly notes: Record<string, string | number | undefined>;
};

/** Handles a call. Returns the failure to respond with, or nothing when it has responded. */
export type CallHandler = (call: Call) => Promise<Failure | undefined>;

/** A caller that has proven who it is. */
export type Authenticated = {
	readonly kind: 'authenticated';
	readonly index: ConfigurationIndex;
	readonly workspace: Workspace;
};

/** Takes over a request. The caller's own request id is kept when it is printable and short. */
export function openCall(req: IncomingMessage, res: ServerResponse, now: number): Call {
	const given = req.headers[REQUEST_ID_HEADER];
	const requestId = typeof given === 'string' && /^[\w\-.:]{1,128}$/v.test(given) ? given : randomUUID();
	const left = new AbortController();
	res.setHeader(REQUEST_ID_HEADER, requestId);
	res.on('close', () => {
		if (!res.writableFinished) {
			left.abort(new Error('the caller closed the connection'));
		}
	});
	return {
		req, res, requestId, method: req.method ?? 'GET', path: (req.url ?? '/').split('?', 1)[0]!, arrivedAt: now, signal: left.signal, notes: {},
	};
}

/** The text of a header that a caller may send once. */
export function headerOf(req: IncomingMessage, name: string): string | undefined {
	const value = req.headers[name];
	return typeof value === 'string' ? value : value?.join(', ');
}

/** Finds the workspace of the call's API key. */
export function authenticate(call: Call, indexes: ConfigurationIndexes): Authenticated | Failure {
	const index = indexes.current();
	if (!index) {
		return failure({
			code: 'not_ready', message: 'this daemon has no configuration yet', ran: 'not_run', step: 'authenticate', retryAfterMs: NOT_READY_RETRY_MS,
		});
	}

	const key = /^Bearer +(?<key>\S+)$/iv.exec(headerOf(call.req, 'authorization') ?? '')?.groups?.key;
	const workspace = key === undefined ? undefined : index.workspaceOf(key);
	if (!workspace) {
		return failure({
			code: 'invalid_api_key',
			message: key === undefined ? 'header Authorization holds no API key; send "Authorization: Bearer <key>"' : 'the API key belongs to no workspace',
			ran: 'not_run',
			step: 'authenticate',
			param: 'authorization',
		});
	}

	call.notes.workspace = workspace.name;
	return {kind: 'authenticated', index, workspace};
}
