/** Handles `POST /v1/chat/completions` and `POST /v1/completions`. */
import type {ConfigurationIndexes} from '../admission/configuration-index.js';
import {admitModelRequest, type AdmittedRequest} from '../admission/model-admission.js';
import {parseTimeout, TIMEOUT_HEADER} from '../admission/request-deadline.js';
import type {Finished, ModelRunner} from '../routing/model-runner.js';
import type {TokenSink} from '../streams/token-relay.js';
import {wallClockMs, type Clock} from '../util/clock.js';
import type {Failure} from '../util/failure.js';
import {errorBody, sendJson} from '../http/error-response.js';
import {
	authenticate, headerOf, type Authenticated, type Call, type CallHandler,
} from './call.js';
import type {CompletionRequest} from './completion-requests.js';
import {
	finishChunk, textChunk, usageChunk, wholeResponse, type CompletionFormat, type ResponseHead,
} from './completion-responses.js';
import {EventStream} from './event-stream.js';
import {parseBody, type BodyReader} from './request-body.js';
import type {RequestObserver} from './request-observer.js';

export type CompletionParts = {
	readonly indexes: ConfigurationIndexes;
	readonly runner: ModelRunner;
	readonly bodies: BodyReader;
	readonly observer: RequestObserver;
	readonly clock: Clock;
};

/** Creates the handler for the endpoint that uses `format`. */
export function createCompletionHandler(format: CompletionFormat, parts: CompletionParts): CallHandler {
	return async call => {
		const caller = authenticate(call, parts.indexes);
		if (caller.kind === 'failure') {
			return caller;
		}

		const body = await parts.bodies.read(call.req);
		if (body.kind === 'failure') {
			return body;
		}

		try {
			const parsed = parseBody(body.bytes, format.schema);
			return parsed.kind === 'failure' ? parsed : await complete(format, parts, call, {caller, completion: parsed.value});
		} finally {
			body.release();
		}
	};
}

type Accepted = {readonly caller: Authenticated; readonly completion: CompletionRequest};

async function complete(format: CompletionFormat, parts: CompletionParts, call: Call, {caller, completion}: Accepted): Promise<Failure | undefined> {
	const timeoutMs = parseTimeout(headerOf(call.req, TIMEOUT_HEADER));
	if (typeof timeoutMs === 'object') {
		return timeoutMs;
	}

	const request = admitModelRequest(caller.index, caller.workspace, {...completion, timeoutMs}, call.arrivedAt);
	if (request.kind === 'failure') {
		return request;
	}

	call.notes.service = request.service.name;
	call.notes.class = request.lengthClass;
	const head = {id: `${format.idPrefix}${call.requestId}`, created: Math.floor(wallClockMs() / 1000), model: completion.model};
	const response = completion.stream
		? createStreamedResponse(format, call, head, completion.includeUsage)
		: createWholeResponse(format, call, head);
	const result = await run(parts, call, request, response);
	return result.kind === 'finished' ? response.finish(result) : response.fail(result);
}

/** A response in progress. `fail` returns the failure if nothing has been sent, so that it can be sent as the response. */
type Response = TokenSink & {
	finish(finished: Finished): Promise<undefined>;
	fail(failed: Failure): Promise<Failure | undefined>;
};

async function run(parts: CompletionParts, call: Call, request: AdmittedRequest, sink: TokenSink): Promise<Finished | Failure> {
	const result = await parts.runner.run({
		requestId: call.requestId, request, sink, signal: call.signal,
	});
	if (result.kind === 'finished') {
		call.notes.attempts = result.attempts;
		call.notes.first_token_ms = result.firstTokenAt === undefined ? undefined : Math.round(result.firstTokenAt - request.arrivedAt);
	}

	parts.observer.observe({
		service: request.service.name,
		workspace: request.workspace.name,
		lengthClass: request.lengthClass,
		arrivedAt: request.arrivedAt,
		outcome: result.kind === 'finished' ? {kind: 'finished', tokens: result.done.completionTokens, firstTokenAt: result.firstTokenAt} : result,
	}, parts.clock());
	return result;
}

function createWholeResponse(format: CompletionFormat, {res}: Call, head: ResponseHead): Response {
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

function createStreamedResponse(format: CompletionFormat, {res, notes}: Call, head: ResponseHead, includeUsage: boolean): Response {
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

			notes.code = failed.code;
			await stream.send(errorBody(failed));
			stream.end(false);
			return undefined;
		},
	};
}
