/** Context of one client request, from its arrival to the end of its response, and authentication of the client. */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ConfigurationIndex, ConfigurationIndexes} from '../admission/configuration-index.js';
import type {Workspace} from '../configuration/schema.js';
import {failure, type Failure} from '../util/failure.js';

const REQUEST_ID_HEADER = 'x-request-id';
const NOT_READY_RETRY_AFTER_MS = 1000;

/** The request that a handler of the HTTP server processes. */
export type RequestContext = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly requestId: string;
	readonly method: string;
	/** Path without the query string. */
	readonly path: string;
	/** Arrival time on the monotonic clock, in ms. */
	readonly arrivedAt: number;
	/** Aborted when the client closes the connection before the response is complete. */
	readonly signal: AbortSignal;
	/** Fields that handlers add to the log line of this request. */
	readonly logFields: Record<string, string | number | undefined>;
};

/** Handles a request. Returns the failure to respond with, or undefined when a response was already sent. */
export type RequestHandler = (context: RequestContext) => Promise<Failure | undefined>;

/** The result of a successful authentication: the workspace, and the configuration it was found in. */
export type AuthenticatedClient = {
	readonly kind: 'authenticated';
	readonly index: ConfigurationIndex;
	readonly workspace: Workspace;
};

/** Creates the context of a request. A request id sent by the client is used if it consists of at most 128 safe characters. */
export function createRequestContext(req: IncomingMessage, res: ServerResponse, now: number): RequestContext {
	const clientRequestId = req.headers[REQUEST_ID_HEADER];
	const requestId = typeof clientRequestId === 'string' && /^[\w\-.:]{1,128}$/v.test(clientRequestId) ? clientRequestId : randomUUID();
	const disconnected = new AbortController();
	res.setHeader(REQUEST_ID_HEADER, requestId);
	res.on('close', () => {
		if (!res.writableFinished) {
			disconnected.abort(new Error('the client closed the connection'));
		}
	});
	return {
		req, res, requestId, method: req.method ?? 'GET', path: (req.url ?? '/').split('?', 1)[0]!, arrivedAt: now, signal: disconnected.signal, logFields: {},
	};
}

/** Returns a header as one string; the values of a repeated header are joined with commas. */
export function headerOf(req: IncomingMessage, name: string): string | undefined {
	const value = req.headers[name];
	return typeof value === 'string' ? value : value?.join(', ');
}

/** Finds the workspace that the API key of the request belongs to. */
export function authenticate(context: RequestContext, indexes: ConfigurationIndexes): AuthenticatedClient | Failure {
	const index = indexes.current();
	if (!index) {
		return failure({
			code: 'not_ready', message: 'this daemon has no configuration yet', ran: 'not_run', step: 'authenticate', retryAfterMs: NOT_READY_RETRY_AFTER_MS,
		});
	}

	const key = /^Bearer +(?<key>\S+)$/iv.exec(headerOf(context.req, 'authorization') ?? '')?.groups?.key;
	const workspace = key === undefined ? undefined : index.workspaceOf(key);
	if (!workspace) {
		return failure({
			code: 'invalid_api_key',
			message: key === undefined ? 'the Authorization header contains no API key; send "Authorization: Bearer <key>"' : 'the API key does not belong to any workspace',
			ran: 'not_run',
			step: 'authenticate',
			param: 'authorization',
		});
	}

	context.logFields.workspace = workspace.name;
	return {kind: 'authenticated', index, workspace};
}
