/** Handles `/services/<name>/...`: calls to plain services. */
import type {IncomingMessage} from 'node:http';
import type {ConfigurationIndexes} from '../admission/configuration-index.js';
import {deadlineOf, parseTimeout, TIMEOUT_HEADER} from '../admission/request-deadline.js';
import type {PlainService} from '../configuration/schema.js';
import type {PlainCall, PlainResult} from '../operations/plain-call.js';
import {readPlainBody, writePlainAnswer} from '../operations/plain-http.js';
import type {Clock} from '../util/clock.js';
import {failure, type Failure} from '../util/failure.js';
import {
	authenticate, headerOf, type Authenticated, type Call, type CallHandler,
} from './call.js';
import type {RequestObserver} from './request-observer.js';

/** Path prefix of calls to plain services. */
export const PLAIN_PREFIX = '/services/';

/** Executes calls to plain services. */
export type PlainCalls = {
	handle(call: PlainCall): Promise<PlainResult>;
};

type PlainParts = {
	readonly indexes: ConfigurationIndexes;
	readonly router: PlainCalls;
	readonly observer: RequestObserver;
	readonly clock: Clock;
};

/** Creates the handler for calls to plain services. */
export function createPlainHandler(parts: PlainParts): CallHandler {
	return async call => {
		const caller = authenticate(call, parts.indexes);
		if (caller.kind === 'failure') {
			return caller;
		}

		const {name, path} = splitTarget(call.req);
		const service = serviceOf(caller, name);
		if (service.kind === 'failure') {
			return service;
		}

		call.notes.service = service.name;
		const timeoutMs = parseTimeout(headerOf(call.req, TIMEOUT_HEADER));
		if (typeof timeoutMs === 'object') {
			return timeoutMs;
		}

		return respond(call, parts, {
			requestId: call.requestId,
			workspace: caller.workspace,
			service,
			method: call.method,
			path,
			headers: call.req.headers,
			// The router applies the timeout of the route.
			deadline: deadlineOf(call.arrivedAt, undefined, timeoutMs),
			signal: call.signal,
		});
	};
}

async function respond(call: Call, {router, observer, clock}: PlainParts, plain: Omit<PlainCall, 'body'>): Promise<Failure | undefined> {
	const body = await readBody(call.req);
	if ('kind' in body) {
		return body;
	}

	const result = await router.handle({...plain, body});
	if (result.kind === 'answered') {
		await writePlainAnswer(call.res, result, call.requestId);
	}

	observer.observe({
		service: plain.service.name,
		workspace: plain.workspace.name,
		lengthClass: 'short',
		arrivedAt: call.arrivedAt,
		outcome: result.kind === 'failure' ? result : {kind: 'finished', tokens: 0},
	}, clock());
	return result.kind === 'failure' ? result : undefined;
}

async function readBody(req: IncomingMessage): ReturnType<typeof readPlainBody> {
	try {
		return await readPlainBody(req);
	} catch {
		return failure({
			code: 'caller_left', message: 'the client closed the connection before the body was complete', ran: 'not_run', step: 'parse',
		});
	}
}

/** Splits the request target into the service name and the remaining path with its query string. */
function splitTarget(req: IncomingMessage): {readonly name: string; readonly path: string} {
	const target = (req.url ?? '').slice(PLAIN_PREFIX.length);
	const end = target.search(/[\/?]/v);
	const name = end === -1 ? target : target.slice(0, end);
	const rest = end === -1 ? '' : target.slice(end);
	return {name, path: rest.startsWith('/') ? rest : `/${rest}`};
}

function serviceOf({index, workspace}: Authenticated, name: string): PlainService | Failure {
	const service = index.service(name);
	if (service?.kind !== 'plain') {
		return failure({
			code: 'unknown_service', message: `there is no plain service ${JSON.stringify(name)}`, ran: 'not_run', step: 'admit',
		});
	}

	return workspace.services.includes(name)
		? service
		: failure({
			code: 'service_not_allowed', message: `workspace ${workspace.name} may not use the service ${name}`, ran: 'not_run', step: 'admit',
		});
}
