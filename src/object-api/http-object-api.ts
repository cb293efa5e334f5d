/**
 * HTTP client of the object API. The protocol is described in `object-api.ts`.
 *
 * A write is `rejected` only if it certainly has no effect: no connection was opened, or the object API refused the
 * request with a status. Every other error is `unknown`, since part of the request may have been sent.
 */
import {z} from 'zod';
import type {TrafficMeter} from '../util/traffic-meter.js';
import {
	describeError, isCertainlyUnsent, JsonClient, type JsonAnswer, type JsonRequest,
} from './json-client.js';
import type {
	CallOptions, ListOutcome, ObjectApi, ReadOutcome, StoredObject, WatchOutcome, WriteCondition, WriteOutcome,
} from './object-api.js';

/** Statuses by which the object API refuses a request before it has any effect. */
const REFUSED_STATUSES: ReadonlySet<number> = new Set([400, 401, 403, 405, 413, 422, 429, 503]);

const storedObjectSchema = z.object({key: z.string(), version: z.number().int(), value: z.unknown()});
const listSchema = z.object({objects: z.array(storedObjectSchema)});
const versionSchema = z.object({version: z.number().int()});

export class HttpObjectApi implements ObjectApi {
	/** `caller` is the id of this daemon, sent as `x-caller`. */
	static create(options: {readonly baseUrl: string; readonly caller: string; readonly meter?: TrafficMeter}): HttpObjectApi {
		return new HttpObjectApi(JsonClient.create(options.baseUrl, options.caller, options.meter));
	}

	private constructor(private readonly client: JsonClient) {}

	async read(key: string, options: CallOptions): Promise<ReadOutcome> {
		return this.#query<ReadOutcome>({method: 'GET', path: objectPath(key)}, options, answer => {
			if (answer.status === 404) {
				return {kind: 'absent'};
			}

			return answer.status === 200 ? {kind: 'found', object: parseObject(answer.body)} : throwUnexpectedStatus(answer);
		});
	}

	async list(prefix: string, options: CallOptions): Promise<ListOutcome> {
		const path = `/v1/objects?prefix=${encodeURIComponent(prefix)}`;
		return this.#query<ListOutcome>({method: 'GET', path}, options, answer => answer.status === 200
			? {kind: 'listed', objects: listSchema.parse(answer.body).objects}
			: throwUnexpectedStatus(answer));
	}

	async watch(key: string, afterVersion: number, waitMs: number, options: CallOptions): Promise<WatchOutcome> {
		const path = `/v1/watch/${encodeKey(key)}?after=${afterVersion}&waitMs=${waitMs}`;
		return this.#query<WatchOutcome>({method: 'GET', path}, options, answer => {
			if (answer.status === 204) {
				return {kind: 'unchanged'};
			}

			return answer.status === 200 ? {kind: 'changed', object: parseObject(answer.body)} : throwUnexpectedStatus(answer);
		});
	}

	async write(key: string, value: unknown, condition: WriteCondition, options: CallOptions): Promise<WriteOutcome> {
		const headers = conditionHeaders(condition);
		return this.#mutate({
			method: 'PUT', path: objectPath(key), headers, body: value,
		}, options, answer => versionSchema.parse(answer.body).version);
	}

	async remove(key: string, version: number, options: CallOptions): Promise<WriteOutcome> {
		const headers = conditionHeaders({kind: 'version', version});
		return this.#mutate({method: 'DELETE', path: objectPath(key), headers}, options, () => version);
	}

	async close(): Promise<void> {
		await this.client.close();
	}

	async #query<T>(req: JsonRequest, options: CallOptions, interpret: (answer: JsonAnswer) => T): Promise<T | Unavailable> {
		try {
			return interpret(await this.client.call(req, options));
		} catch (err) {
			return {kind: 'unavailable', message: this.#errorMessage(req, err)};
		}
	}

	async #mutate(req: JsonRequest, options: CallOptions, versionOf: (answer: JsonAnswer) => number): Promise<WriteOutcome> {
		if (options.signal?.aborted) {
			return {kind: 'rejected', message: this.#errorMessage(req, 'cancelled before the request was sent')};
		}

		try {
			const answer = await this.client.call(req, options);
			return interpretMutation(answer, versionOf) ?? {kind: 'unknown', message: this.#errorMessage(req, statusText(answer))};
		} catch (err) {
			const kind = isCertainlyUnsent(err) ? 'rejected' : 'unknown';
			return {kind, message: this.#errorMessage(req, err)};
		}
	}

	#errorMessage(req: JsonRequest, cause: unknown): string {
		return `${req.method} ${this.client.origin}${req.path}: ${describeError(cause)}`;
	}
}

type Unavailable = {readonly kind: 'unavailable'; readonly message: string};

const encodeKey = (key: string): string => key.split('/').map(part => encodeURIComponent(part)).join('/');
const objectPath = (key: string): string => `/v1/objects/${encodeKey(key)}`;
const statusText = (answer: JsonAnswer): string => `status ${answer.status}`;
const parseObject = (body: unknown): StoredObject => storedObjectSchema.parse(body);

const conditionHeaders = (condition: WriteCondition): Record<string, string> => condition.kind === 'absent'
	? {'if-none-match': '*'}
	: {'if-match': String(condition.version)};

function throwUnexpectedStatus(answer: JsonAnswer): never {
	throw new Error(statusText(answer));
}

function interpretMutation(answer: JsonAnswer, versionOf: (answer: JsonAnswer) => number): WriteOutcome | undefined {
	if (answer.status === 200) {
		return {kind: 'written', version: versionOf(answer)};
	}

	if (answer.status === 404) {
		return {kind: 'conflict', version: 0};
	}

	if (answer.status === 412) {
		return {kind: 'conflict', version: versionSchema.parse(answer.body).version};
	}

	return REFUSED_STATUSES.has(answer.status) ? {kind: 'rejected', message: `the object API refused the request with ${statusText(answer)}`} : undefined;
}
