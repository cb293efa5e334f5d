/** HTTP client of plain services. Its outcomes tell whether a request may have run. */
import {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import {Agent} from 'undici';
import {CheckedClient, createCheckedPool} from './checked-client.js';
import {createCheckedConnector, NotConnectedError, type ConnectionCheck} from './checked-connector.js';
import type {
	PlainResponseHead, PlainSendOutcome, PlainServiceClient, PlainServiceRequest, SentOnceOutcome,
} from './plain-service-protocol.js';

const IDLE_CONNECTION_MS = 10_000;

/** Size limit of the answer to a non-idempotent call, which is buffered until it is complete. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** Client based on undici. Idempotent requests share connections; each other request uses its own connection. */
export class UndiciPlainServiceClient implements PlainServiceClient {
	static create(): UndiciPlainServiceClient {
		return new UndiciPlainServiceClient();
	}

	readonly #agent = new Agent({connect: createCheckedConnector(() => undefined), keepAliveTimeout: IDLE_CONNECTION_MS, factory: createCheckedPool});
	readonly #clients = new Set<CheckedClient>();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	async send(request: PlainServiceRequest, signal: AbortSignal): Promise<PlainSendOutcome> {
		try {
			const timeout = AbortSignal.timeout(Math.ceil(request.timeoutMs));
			const res = await this.#agent.request({...optionsOf(request), origin: originOf(request), signal: AbortSignal.any([signal, timeout])});
			return {
				kind: 'answered', status: res.statusCode, headers: res.headers, body: res.body,
			};
		} catch (err) {
			return toFailedOutcome(err);
		}
	}

	/**
	 * Sends the request on a new connection and prevents undici from opening another one. The service can close a keep-alive
	 * connection while the request is being written, and undici then sends some requests again on a new connection.
	 */
	async sendOnce(request: PlainServiceRequest, mayStillSend: ConnectionCheck): Promise<SentOnceOutcome> {
		let opened = false;
		const connect = createCheckedConnector(() => {
			const refusal = opened ? 'a second connection is not opened for a non-idempotent call' : mayStillSend();
			opened ||= refusal === undefined;
			return refusal;
		});
		const client = new CheckedClient(originOf(request), {connect});
		this.#clients.add(client);
		try {
			return await exchangeOnce(client, request);
		} catch (err) {
			return opened ? {kind: 'unknown', message: messageOf(err)} : toFailedOutcome(err);
		} finally {
			this.#clients.delete(client);
			void client.destroy();
		}
	}

	async close(): Promise<void> {
		await Promise.all([this.#agent.destroy(), ...[...this.#clients].map(async client => client.destroy())]);
	}
}

async function exchangeOnce(client: CheckedClient, request: PlainServiceRequest): Promise<SentOnceOutcome> {
	const signal = AbortSignal.timeout(Math.ceil(request.timeoutMs));
	const res = await client.request({...optionsOf(request), signal});
	const head = {status: res.statusCode, headers: res.headers};
	try {
		return {kind: 'answered', ...head, body: await readBounded(res.body)};
	} catch (err) {
		return {kind: 'broken', ...head, message: messageOf(err)};
	}
}

async function readBounded(body: Readable): Promise<Buffer> {
	const chunks: Buffer[] = [];
	let bytes = 0;
	for await (const chunk of body as AsyncIterable<Buffer>) {
		bytes += chunk.length;
		if (bytes > MAX_ANSWER_BYTES) {
			throw new Error(`the answer is larger than ${MAX_ANSWER_BYTES} bytes`);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

const originOf = (request: PlainServiceRequest): string => `http://${request.address}`;

const optionsOf = (request: PlainServiceRequest) => ({
	method: request.method as 'GET',
	path: request.path,
	headers: Object.fromEntries(Object.entries(request.headers).map(([name, value]) => [name, typeof value === 'object' ? [...value] : value])),
	body: request.body.length > 0 ? Buffer.from(request.body) : undefined,
	headersTimeout: 0,
	bodyTimeout: 0,
});

const toFailedOutcome = (err: unknown): {readonly kind: 'not_sent' | 'unknown'; readonly message: string} =>
	({kind: err instanceof NotConnectedError ? 'not_sent' : 'unknown', message: messageOf(err)});

const messageOf = (err: unknown): string => err instanceof Error ? err.message : String(err);

/**
 * Boot id and warm state from the headers of an answer. Without these headers the server counts as warm, with an empty
 * boot id.
 */
export const processStateOf = ({headers}: PlainResponseHead): {readonly boot: string; readonly warm: boolean} => ({
	boot: String(headers['x-backend-boot'] ?? ''),
	warm: headers['x-backend-warm'] !== 'false',
});
