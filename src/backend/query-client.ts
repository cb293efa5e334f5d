/** Client for short calls to backend servers over shared connections. */
import {Agent, type Dispatcher} from 'undici';
import type {z} from 'zod';
import type {CancelOutcome, EngineCallOptions} from '../streams/engine-streams.js';
import {withTimeLimit} from '../util/time-limit.js';
import {messageOf} from './engine-connection.js';

const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
const CONNECT_TIMEOUT_MS = 1000;

/** Answer to a query. `failed` covers transport errors, unexpected statuses and answers that violate the protocol. */
export type QueryAnswer<T> =
	| {readonly kind: 'answered'; readonly value: T}
	| {readonly kind: 'failed'; readonly message: string};

export type QueryRequest = {
	readonly method: 'GET' | 'POST' | 'DELETE';
	readonly path: string;
	/** JSON text. */
	readonly body?: string;
};

/** The call failed before its answer was read. `refused`: no process listens on the address. */
export type CallFailure = {readonly kind: 'failed'; readonly message: string; readonly refused: boolean};

/** Calls backend servers by IP:PORT. Methods do not throw. A call that times out closes its connection. */
export class QueryClient {
	static create(): QueryClient {
		return new QueryClient(new Agent({
			connect: {timeout: CONNECT_TIMEOUT_MS}, headersTimeout: 0, bodyTimeout: 0, maxResponseSize: MAX_ANSWER_BYTES,
		}));
	}

	private constructor(private readonly agent: Agent) {}

	/** Gets JSON and validates it with `schema`. */
	async query<T>(address: string, path: string, schema: z.ZodType<T>, options: EngineCallOptions): Promise<QueryAnswer<T>> {
		return this.call(address, {method: 'GET', path}, options, async ({statusCode, body}): Promise<QueryAnswer<T>> => {
			if (statusCode !== 200) {
				await body.dump();
				return {kind: 'failed', message: `GET ${path} answered with status ${statusCode}`};
			}

			return {kind: 'answered', value: schema.parse(await body.json())};
		});
	}

	/** Deletes the resource at `path`. Backend servers answer 204 also if it does not exist. */
	async remove(address: string, path: string, options: EngineCallOptions): Promise<CancelOutcome> {
		const outcome = await this.call(address, {method: 'DELETE', path}, options, async ({statusCode, body}): Promise<CancelOutcome> => {
			await body.dump();
			return statusCode === 204 ? {kind: 'cancelled'} : {kind: 'unreachable', message: `DELETE ${path} answered with status ${statusCode}`};
		});
		return outcome.kind === 'failed' ? {kind: outcome.refused ? 'refused' : 'unreachable', message: outcome.message} : outcome;
	}

	/** Sends a request and reads its answer with `read` within the time limit. */
	async call<T>(address: string, query: QueryRequest, options: EngineCallOptions, read: (response: Dispatcher.ResponseData) => Promise<T>): Promise<T | CallFailure> {
		try {
			return await withTimeLimit(options, async signal => read(await this.agent.request({
				origin: `http://${address}`,
				...query,
				headers: query.body === undefined ? {} : {'content-type': 'application/json'},
				signal,
			})));
		} catch (err) {
			return {kind: 'failed', message: messageOf(err), refused: (err as NodeJS.ErrnoException).code === 'ECONNREFUSED'};
		}
	}

	/** Aborts all pending calls. */
	async close(): Promise<void> {
		await this.agent.destroy();
	}
}
