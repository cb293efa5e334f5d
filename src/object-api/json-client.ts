/** HTTP client for the JSON interfaces of the platform's services, with a time limit on each call. */
import type {IncomingHttpHeaders} from 'node:http';
import {Agent} from 'undici';
import {createPacedConnector} from '../http/paced-reads.js';
import {ReadPace} from '../http/read-pace.js';
import {TimeLimitError} from '../util/limited-signal.js';
import {withTimeLimit, type TimeLimit} from '../util/time-limit.js';
import {createMeteredConnector, type TrafficMeter} from '../util/traffic-meter.js';
import {AnswerBody, OversizedAnswerError, type AnswerLimit} from './answer-body.js';

/** Time limit in ms for opening a connection. If it is exceeded, no byte of the request has been sent. */
const CONNECT_TIMEOUT_MS = 1000;
const IDLE_CONNECTION_MS = 10_000;
/** Largest body of an answer that is read: several times the megabyte that the platform's services allow for a page or an object. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** An answer: its status and its parsed JSON body, which is undefined if the body is empty. */
export type JsonAnswer = {
	readonly status: number;
	readonly body: unknown;
	/** Entity tag of the response, if the server sent one (RFC 9110, section 8.8.3). */
	readonly etag?: string;
	readonly headers: IncomingHttpHeaders;
	/** Length of the body in bytes. */
	readonly bytes: number;
	/** Time in ms from the head to the end of the body: the answer is at least that old. */
	readonly transferMs: number;
};

/** One request. `path` includes the query string. */
export type JsonRequest = {
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: unknown;
};

/** Whether `err` proves that no byte of the request left this host. */
export function isCertainlyUnsent(err: unknown): boolean {
	if (!(err instanceof Error)) {
		return false;
	}

	// For a name with several addresses, Node reports all connection attempts in one AggregateError.
	if (err instanceof AggregateError) {
		return err.errors.length > 0 && err.errors.every(item => isCertainlyUnsent(item));
	}

	const {code, syscall} = err as NodeJS.ErrnoException;
	return code === 'UND_ERR_CONNECT_TIMEOUT' || syscall === 'connect' || syscall === 'getaddrinfo';
}

/** The head of an answer has arrived, and its body has not arrived whole. */
export class IncompleteAnswerError extends Error {
	override readonly name = 'IncompleteAnswerError';

	/** `announcedBytes`: length of the body by its head; undefined for one without a length. */
	constructor(readonly receivedBytes: number, readonly announcedBytes: number | undefined, cause: unknown) {
		super(`the answer ended after ${receivedBytes} of ${announcedBytes ?? 'unknown'} bytes: ${describeError(cause)}`, {cause});
	}
}

/** Describes an error for messages by its code, if it has one, and its message. */
export function describeError(err: unknown): string {
	if (!(err instanceof Error)) {
		return String(err);
	}

	const {code} = err as NodeJS.ErrnoException;
	const message = err.message || err.name;
	return code && !message.includes(code) ? `${code}: ${message}` : message;
}

/** Client for one base URL. Calls reject on transport errors, on timeout and if the body is not JSON. */
export class JsonClient {
	/** `caller` is sent as `x-caller`, by which the platform accounts for calls. `meter` counts the bytes of all connections. */
	static create(baseUrl: string, caller: string, meter?: TrafficMeter): JsonClient {
		return new JsonClient(new URL(baseUrl).origin, caller, meter);
	}

	readonly #createAgent: () => Agent;
	#agent: Agent;
	/** Former agents, whose calls have not ended. */
	readonly #formerAgents = new Set<Agent>();

	private constructor(readonly origin: string, private readonly caller: string, meter: TrafficMeter | undefined) {
		const connect = createPacedConnector(createMeteredConnector({timeout: CONNECT_TIMEOUT_MS}, meter), ReadPace.create());
		this.#createAgent = () => new Agent({
			connect, keepAliveTimeout: IDLE_CONNECTION_MS, pipelining: 1, maxResponseSize: MAX_ANSWER_BYTES,
		});
		this.#agent = this.#createAgent();
	}

	/** `limit.timeoutMs` covers the whole answer, or only its head if `limit.answer` limits its body. */
	async call(req: JsonRequest, limit: TimeLimit & {readonly answer?: AnswerLimit}): Promise<JsonAnswer> {
		const body = AnswerBody.create(limit.answer);
		const agent = this.#agent;
		try {
			return await withTimeLimit(limit, async (signal, restart) => {
				const res = await agent.request({
					origin: this.origin,
					path: req.path,
					method: req.method,
					headers: this.#headers(req),
					body: req.body === undefined ? undefined : JSON.stringify(req.body),
					signal,
				});
				const text = await body.read(res, restart);
				const transferMs = body.ageMs(performance.now());
				const {etag} = res.headers;
				return {
					status: res.statusCode, body: parseBody(text), headers: res.headers, bytes: body.receivedBytes, transferMs, ...(typeof etag === 'string' ? {etag} : {}),
				};
			});
		} catch (err) {
			if (err instanceof TimeLimitError) {
				this.#replaceAgent(agent);
			}

			throw body.isIncomplete && !(err instanceof OversizedAnswerError) ? new IncompleteAnswerError(body.receivedBytes, body.announcedBytes, err) : err;
		}
	}

	async close(): Promise<void> {
		await Promise.all([this.#agent, ...this.#formerAgents].map(async agent => agent.destroy()));
	}

	/** What silenced one connection may have silenced the others: later calls use new ones. */
	#replaceAgent(silent: Agent): void {
		if (silent !== this.#agent) {
			return;
		}

		this.#agent = this.#createAgent();
		this.#formerAgents.add(silent);
		void this.#closeWhenDone(silent);
	}

	async #closeWhenDone(agent: Agent): Promise<void> {
		try {
			await agent.close();
		} catch {
			// It was destroyed meanwhile, together with this client.
		}

		this.#formerAgents.delete(agent);
	}

	#headers(req: JsonRequest): Record<string, string> {
		const contentType: Record<string, string> = req.body === undefined ? {} : {'content-type': 'application/json'};
		return {...contentType, ...req.headers, 'x-caller': this.caller};
	}
}

const parseBody = (text: string): unknown => text === '' ? undefined : parseJson(text);

/** Numbers that JSON does not have are read as null, so that one of them in an answer does not hide the rest of it. */
function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return JSON.parse(replaceNonNumbers(text));
	}
}

/** Replaces the numbers outside of strings that JSON does not have and that the encoders of some languages write. */
function replaceNonNumbers(text: string): string {
	const tokens = /"|-?Infinity|NaN/gv;
	const parts: string[] = [];
	let copiedTo = 0;
	for (let match = tokens.exec(text); match; match = tokens.exec(text)) {
		if (match[0] === '"') {
			tokens.lastIndex = findStringEnd(text, match.index);
		} else {
			parts.push(text.slice(copiedTo, match.index), 'null');
			copiedTo = tokens.lastIndex;
		}
	}

	return parts.join('') + text.slice(copiedTo);
}

/** Index after the closing quote of the JSON string that begins at `start`. */
function findStringEnd(text: string, start: number): number {
	const specials = /["\\]/gv;
	specials.lastIndex = start + 1;
	for (let match = specials.exec(text); match; match = specials.exec(text)) {
		if (match[0] === '"') {
			return specials.lastIndex;
		}

		specials.lastIndex++;
	}

	return text.length;
}
