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
	authenticate, headerOf, type AuthenticatedClient, type RequestContext, type RequestHandler,
} from './request-context.js';
import type {RequestObserver} from './request-observer.js';

/** Path prefix of calls to plain services. */
export const PLAIN_PREFIX = '/services/';

/** Executes calls to plain services. */
export type PlainCalls = {
	handle(call: PlainCall): Promise<PlainResult>;
};

type PlainHandlerDependencies = {
	readonly indexes: ConfigurationIndexes;
	readonly router: PlainCalls;
	readonly observer: RequestObserver;
	readonly clock: Clock;
};

/** Creates the handler for calls to plain services. */
export function createPlainHandler(dependencies: PlainHandlerDependencies): RequestHandler {
	return async context => {
		const client = authenticate(context, dependencies.indexes);
		if (client.kind === 'failure') {
			return client;
		}

		const {name, path} = splitTarget(context.req);
		const service = findPlainService(client, name);
		if (service.kind === 'failure') {
			return service;
		}

		context.logFields.service = service.name;
		const timeoutMs = parseTimeout(headerOf(context.req, TIMEOUT_HEADER));
		if (typeof timeoutMs === 'object') {
			return timeoutMs;
		}

		return respond(context, dependencies, {
			requestId: context.requestId,
			workspace: client.workspace,
			service,
			method: context.method,
			path,
			headers: context.req.headers,
			// The router applies the timeout of the route.
			deadline: deadlineOf(context.arrivedAt, undefined, timeoutMs),
			signal: context.signal,
		});
	};
}

async function respond(context: RequestContext, {router, observer, clock}: PlainHandlerDependencies, plainCall: Omit<PlainCall, 'body'>): Promise<Failure | undefined> {
	const body = await readBody(context.req);
	if ('kind' in body) {
		return body;
	}

	const result = await router.handle({...plainCall, body});
	if (result.kind === 'answered') {
		await writePlainAnswer(context.res, result, context.requestId);
	}

	observer.observe({
		service: plainCall.service.name,
		workspace: plainCall.workspace.name,
		lengthClass: 'short',
		arrivedAt: context.arrivedAt,
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

function findPlainService({index, workspace}: AuthenticatedClient, name: string): PlainService | Failure {
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
