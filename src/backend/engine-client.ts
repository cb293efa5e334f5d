/** HTTP client of model engines. The protocol is described in `engine-protocol.ts`. */
import type {Dispatcher} from 'undici';
import {z} from 'zod';
import type {
	AcceptedSegment, CancelOutcome, EngineCallOptions, EngineProcessState, EngineStreams, NotStarted, ResumeOutcome, SegmentOutcome, StartOutcome,
} from '../streams/engine-streams.js';
import {QueryClient, type QueryAnswer} from './query-client.js';
import {messageOf, openConnection, type ConnectionOutcome} from './engine-connection.js';
import {readEngineEvents} from './engine-events.js';
import {
	cacheEventsSchema,
	engineHealthSchema,
	engineListingSchema,
	engineLoadSchema,
	type CacheEvents,
	type EngineHealth,
	type EngineListing,
	type EngineLoad,
	type EngineOrder,
	type SegmentRequest,
	type StreamRequest,
} from './engine-protocol.js';

/** Outcome of an order. `stale`: the engine has already seen the higher fencing token `highest`. */
export type EngineOrderOutcome =
	| {readonly kind: 'accepted'}
	| {readonly kind: 'stale'; readonly highest: number}
	| {readonly kind: 'failed'; readonly message: string};

type ResponseOutcome = Extract<ConnectionOutcome, {readonly kind: 'response'}>;

const segmentAnswerSchema = z.object({id: z.string(), tokens: z.number().int().nonnegative()});
const staleSchema = z.object({highest: z.number().int()});

function header(response: Dispatcher.ResponseData, name: string): string {
	const value = response.headers[name];
	return typeof value === 'string' ? value : '';
}

const processStateOf = (response: Dispatcher.ResponseData): EngineProcessState => ({
	boot: header(response, 'x-engine-boot'),
	warm: header(response, 'x-engine-warm') === 'true',
});

/** Whether the status proves that the request does not run. 409 does not: it means that the stream already exists. */
const isRefusal = (statusCode: number): boolean => statusCode === 503 || (statusCode >= 400 && statusCode < 500 && statusCode !== 409);

/** Converts a failure or a response other than 200 into an outcome and closes the connection. */
function toNotStarted(opened: ConnectionOutcome): NotStarted {
	if (opened.kind !== 'response') {
		return opened;
	}

	opened.close();
	const {statusCode} = opened.response;
	const message = `the engine answered with status ${statusCode}`;
	return isRefusal(statusCode) ? {kind: 'not_accepted', message} : {kind: 'unknown', message};
}

const isAccepted = (opened: ConnectionOutcome): opened is ResponseOutcome => opened.kind === 'response' && opened.response.statusCode === 200;

/** An accepted segment, whose response body arrives when the prefill is finished. */
function toAcceptedSegment(opened: ResponseOutcome, id: string): AcceptedSegment {
	return {
		kind: 'accepted',
		...processStateOf(opened.response),
		async finished(limitMs) {
			const timer = setTimeout(() => {
				opened.response.body.destroy(new Error(`no answer within ${limitMs} ms`));
			}, limitMs);
			try {
				const answer = segmentAnswerSchema.parse(await opened.response.body.json());
				return answer.id === id
					? {kind: 'kept', tokens: answer.tokens}
					: {kind: 'failed', message: `answer for segment ${answer.id} instead of ${id}`};
			} catch (err) {
				return {kind: 'failed', message: messageOf(err)};
			} finally {
				clearTimeout(timer);
				opened.close();
			}
		},
	};
}

/** Calls engines over HTTP. Each stream and each segment uses its own connection; queries share connections. */
export class EngineClient implements EngineStreams {
	static create(): EngineClient {
		return new EngineClient();
	}

	readonly #queries = QueryClient.create();

	async start(address: string, request: StreamRequest, options: EngineCallOptions): Promise<StartOutcome> {
		const opened = await openConnection(address, {method: 'POST', path: '/v1/streams', body: request}, options);
		if (!isAccepted(opened)) {
			return toNotStarted(opened);
		}

		const {response, close} = opened;
		const streamId = header(response, 'x-stream-id');
		if (streamId !== '' && streamId !== request.id) {
			close();
			return {kind: 'unknown', message: `the engine answered for another stream: ${streamId}`};
		}

		return {kind: 'accepted', events: readEngineEvents(response.body, close), ...processStateOf(response)};
	}

	async resume(address: string, id: string, from: number, options: EngineCallOptions): Promise<ResumeOutcome> {
		const opened = await openConnection(address, {method: 'GET', path: `/v1/streams/${encodeURIComponent(id)}?from=${from}`}, options);
		if (opened.kind !== 'response') {
			return {kind: 'unreachable', message: opened.message};
		}

		const {response, close} = opened;
		if (response.statusCode === 200) {
			return {kind: 'accepted', events: readEngineEvents(response.body, close), ...processStateOf(response)};
		}

		close();
		const message = `the engine answered with status ${response.statusCode}`;
		return response.statusCode === 404 ? {kind: 'gone', message} : {kind: 'unreachable', message};
	}

	async prefillSegment(address: string, request: SegmentRequest, options: EngineCallOptions): Promise<SegmentOutcome> {
		const opened = await openConnection(address, {method: 'POST', path: '/v1/segments', body: request}, options);
		return isAccepted(opened) ? toAcceptedSegment(opened, request.id) : toNotStarted(opened);
	}

	async cancelStream(address: string, id: string, options: EngineCallOptions): Promise<CancelOutcome> {
		return this.#queries.remove(address, `/v1/streams/${encodeURIComponent(id)}`, options);
	}

	async freeSegment(address: string, id: string, options: EngineCallOptions): Promise<CancelOutcome> {
		return this.#queries.remove(address, `/v1/segments/${encodeURIComponent(id)}`, options);
	}

	async health(address: string, options: EngineCallOptions): Promise<QueryAnswer<EngineHealth>> {
		return this.#queries.query(address, '/health', engineHealthSchema, options);
	}

	async load(address: string, options: EngineCallOptions): Promise<QueryAnswer<EngineLoad>> {
		return this.#queries.query(address, '/load', engineLoadSchema, options);
	}

	async listing(address: string, options: EngineCallOptions): Promise<QueryAnswer<EngineListing>> {
		return this.#queries.query(address, '/v1/streams', engineListingSchema, options);
	}

	/** Returns prefix cache changes with a sequence number above `after`. */
	async cacheEvents(address: string, after: number, options: EngineCallOptions): Promise<QueryAnswer<CacheEvents>> {
		return this.#queries.query(address, `/cache-events?after=${after}`, cacheEventsSchema, options);
	}

	async order(address: string, order: EngineOrder, options: EngineCallOptions): Promise<EngineOrderOutcome> {
		return this.#queries.call(address, {method: 'POST', path: '/v1/orders', body: JSON.stringify(order)}, options, async ({statusCode, body}): Promise<EngineOrderOutcome> => {
			if (statusCode === 409) {
				return {kind: 'stale', highest: staleSchema.parse(await body.json()).highest};
			}

			await body.dump();
			return statusCode === 200 ? {kind: 'accepted'} : {kind: 'failed', message: `the engine answered with status ${statusCode}`};
		});
	}

	/** Aborts all pending queries. The connections of streams close with their streams. */
	async close(): Promise<void> {
		await this.#queries.close();
	}
}
