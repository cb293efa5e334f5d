/** Handles `POST /v1/chat/completions` and `POST /v1/completions`. */
import type {ConfigurationIndexes} from '../admission/configuration-index.js';
import {admitModelRequest, type AdmittedRequest} from '../admission/model-admission.js';
import {parseTimeout, TIMEOUT_HEADER} from '../admission/request-deadline.js';
import type {FinishedRun, ModelRunner} from '../routing/model-runner.js';
import type {TokenSink} from '../streams/token-relay.js';
import {wallClockMs, type Clock} from '../util/clock.js';
import type {Failure} from '../util/failure.js';
import type {BodyReader} from '../http/body-reader.js';
import {errorBody, sendJson} from '../http/error-response.js';
import {
	authenticate, headerOf, type AuthenticatedClient, type RequestContext, type RequestHandler,
} from './request-context.js';
import type {CompletionRequest} from './completion-requests.js';
import {
	finishChunk, textChunk, usageChunk, wholeResponse, type CompletionFormat, type ResponseHead,
} from './completion-responses.js';
import {EventStream} from './event-stream.js';
import {parseBody} from './request-body.js';
import type {RequestObserver} from './request-observer.js';

export type CompletionDependencies = {
	readonly indexes: ConfigurationIndexes;
	readonly runner: ModelRunner;
	readonly bodies: BodyReader;
	readonly observer: RequestObserver;
	readonly clock: Clock;
};

/** Creates the handler for the endpoint that uses `format`. */
export function createCompletionHandler(format: CompletionFormat, dependencies: CompletionDependencies): RequestHandler {
	return async context => {
		const client = authenticate(context, dependencies.indexes);
		if (client.kind === 'failure') {
			return client;
		}

		const body = await dependencies.bodies.read(context.req);
		if (body.kind === 'failure') {
			return body;
		}

		try {
			const parsed = parseBody(body.bytes, format.schema);
			return parsed.kind === 'failure' ? parsed : await handleCompletion(format, dependencies, context, {client, completion: parsed.value});
		} finally {
			body.release();
		}
	};
}

type AuthenticatedRequest = {readonly client: AuthenticatedClient; readonly completion: CompletionRequest};

async function handleCompletion(format: CompletionFormat, dependencies: CompletionDependencies, context: RequestContext, {client, completion}: AuthenticatedRequest): Promise<Failure | undefined> {
	const timeoutMs = parseTimeout(headerOf(context.req, TIMEOUT_HEADER));
	if (typeof timeoutMs === 'object') {
		return timeoutMs;
	}

	const request = admitModelRequest(client.index, client.workspace, {...completion, timeoutMs}, context.arrivedAt);
	if (request.kind === 'failure') {
		return request;
	}

	context.logFields.service = request.service.name;
	context.logFields.class = request.lengthClass;
	const head = {id: `${format.idPrefix}${context.requestId}`, created: Math.floor(wallClockMs() / 1000), model: completion.model};
	const response = completion.stream
		? createStreamedResponse(format, context, head, completion.includeUsage)
		: createWholeResponse(format, context, head);
	const result = await runRequest(dependencies, context, request, response);
	return result.kind === 'finished' ? response.finish(result) : response.fail(result);
}

/** A response in progress. `fail` returns the failure if nothing has been sent, so that it can be sent as the response. */
type CompletionResponse = TokenSink & {
	finish(finished: FinishedRun): Promise<undefined>;
	fail(failed: Failure): Promise<Failure | undefined>;
};

async function runRequest(dependencies: CompletionDependencies, context: RequestContext, request: AdmittedRequest, sink: TokenSink): Promise<FinishedRun | Failure> {
	const result = await dependencies.runner.run({
		requestId: context.requestId, request, sink, signal: context.signal,
	});
	if (result.kind === 'finished') {
		context.logFields.attempts = result.attempts;
		context.logFields.first_token_ms = result.firstTokenAt === undefined ? undefined : Math.round(result.firstTokenAt - request.arrivedAt);
	}

	dependencies.observer.observe({
		service: request.service.name,
		workspace: request.workspace.name,
		lengthClass: request.lengthClass,
		arrivedAt: request.arrivedAt,
		outcome: result.kind === 'finished' ? {kind: 'finished', tokens: result.done.completionTokens, firstTokenAt: result.firstTokenAt} : result,
	}, dependencies.clock());
	return result;
}

function createWholeResponse(format: CompletionFormat, {res}: RequestContext, head: ResponseHead): CompletionResponse {
	const texts: string[] = [];
	return {
		async write(text) {
			texts.push(text);
		},
		async finish({done}) {
			sendJson(res, 200, wholeResponse(format, head, texts.join(''), done));
			return undefined;
		},
		fail: async failed => failed,
	};
}

function createStreamedResponse(format: CompletionFormat, {res, logFields}: RequestContext, head: ResponseHead, includeUsage: boolean): CompletionResponse {
	const stream = EventStream.create(res);
	return {
		async write(text, signal) {
			await stream.send(textChunk(format, head, text, !stream.started), signal);
		},
		async finish({done}) {
			await stream.send(finishChunk(format, head, done));
			if (includeUsage) {
				await stream.send(usageChunk(format, head, done));
			}

			stream.end(true);
			return undefined;
		},
		async fail(failed) {
			if (!stream.started) {
				return failed;
			}

			logFields.code = failed.code;
			await stream.send(errorBody(failed));
			stream.end(false);
			return undefined;
		},
	};
}
