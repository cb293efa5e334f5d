/** A caller of the soak test: sends requests of all kinds over one persistent connection. */
import {Client, type Dispatcher} from 'undici';
import type {CallKind, ObservedRequest} from './soak-observations.js';
import type {SoakDaemon} from './soak-daemon.js';

const DEADLINE_MS = 4000;
const CONNECT_TIMEOUT_MS = 500;
/** Longer than the deadline; a request that has not ended by then counts as interrupted. */
const REQUEST_TIMEOUT_MS = 5000;
const SHORT_PROMPT_TOKENS = 2000;
/** Exceeds the memory of one engine. */
const LARGE_PROMPT_TOKENS = 600_000;

type SoakCall = {readonly kind: CallKind; readonly isLarge: boolean; readonly body?: string};

type SendFailure = Error & {readonly code?: string; readonly syscall?: string};

/** Whether the connection was never established, so that nothing was sent. */
const isConnectFailure = ({code, syscall}: SendFailure): boolean => code === 'UND_ERR_CONNECT_TIMEOUT' || syscall === 'connect';

export const SOAK_HOST = 'desk.example';

const paths: Readonly<Record<CallKind, string>> = {
	idempotent: '/look/a', non_idempotent: '/book/a', stream: '/chat/a', stream_once: '/once/a',
};

export class SoakCaller {
	static create(name: string): SoakCaller {
		return new SoakCaller(name);
	}

	#client: Client | undefined;
	#daemon: SoakDaemon | undefined;
	#incarnation = 0;
	#requestCount = 0;

	private constructor(private readonly name: string) {}

	/** Sends one request to `daemon`. `clock` returns ms from the start of the soak. */
	async send(daemon: SoakDaemon, {kind, isLarge, body = 'order'}: SoakCall, clock: () => number): Promise<ObservedRequest> {
		const id = `${this.name}-${++this.#requestCount}`;
		const sentAt = clock();
		const {incarnation} = daemon;
		let status: number | undefined;
		let responseRequestId: string | undefined;
		let text = '';
		let isComplete = false;
		let failure: SendFailure | undefined;
		try {
			const res = await this.#clientFor(daemon).request({
				method: 'POST',
				path: paths[kind],
				headers: buildHeaders(id, kind, isLarge),
				body,
				signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
			});
			status = res.statusCode;
			responseRequestId = firstHeaderValue(res, 'fireflyport-attempt-id');
			for await (const chunk of res.body) {
				text += String(chunk);
			}

			isComplete = true;
		} catch (err) {
			// A failed connection is recorded as an outcome. The next request opens a new one.
			failure = err as SendFailure;
			await this.#disconnect();
		}

		return {
			id,
			kind,
			daemon: daemon.options.name,
			incarnation,
			sentAt,
			endedAt: clock(),
			status,
			isComplete,
			responseRequestId,
			body: text,
			wasSent: failure === undefined || !isConnectFailure(failure),
			failure: failure?.message,
		};
	}

	/** Whether `daemon` serves the route that configuration version `version` adds; undefined when the daemon does not answer. */
	async probe(daemon: SoakDaemon, version: number): Promise<boolean | undefined> {
		try {
			const {statusCode, body} = await this.#clientFor(daemon).request({
				method: 'POST',
				path: `/since-${version}/a`,
				headers: buildHeaders(`${this.name}-${++this.#requestCount}`, 'idempotent', false),
				body: 'order',
				signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
			});
			await body.dump();
			// A daemon without a configuration answers every request with 503.
			return statusCode === 503 ? undefined : statusCode !== 404;
		} catch {
			await this.#disconnect();
			return undefined;
		}
	}

	async close(): Promise<void> {
		await this.#disconnect();
	}

	#clientFor(daemon: SoakDaemon): Client {
		if (this.#daemon !== daemon || this.#incarnation !== daemon.incarnation || !this.#client) {
			void this.#disconnect();
			this.#daemon = daemon;
			this.#incarnation = daemon.incarnation;
			this.#client = new Client(`http://${daemon.address}`, {connect: {timeout: CONNECT_TIMEOUT_MS}, pipelining: 1});
		}

		return this.#client;
	}

	async #disconnect(): Promise<void> {
		const client = this.#client;
		this.#client = undefined;
		await client?.destroy();
	}
}

function buildHeaders(id: string, kind: CallKind, isLarge: boolean): Record<string, string> {
	const tokens = isLarge ? LARGE_PROMPT_TOKENS : SHORT_PROMPT_TOKENS;
	const isStream = kind === 'stream' || kind === 'stream_once';
	return {
		host: SOAK_HOST,
		'fireflyport-attempt-id': id,
		'fireflyport-deadline-ms': String(DEADLINE_MS),
		...(isStream ? {'fireflyport-model': 'm', 'fireflyport-token-counts': `${tokens},200`, 'fireflyport-prompt-prefix': `5c1e07a2:${tokens}`} : {}),
	};
}

function firstHeaderValue({headers}: Dispatcher.ResponseData, name: string): string | undefined {
	const value = headers[name];
	return Array.isArray(value) ? value[0] : value;
}
