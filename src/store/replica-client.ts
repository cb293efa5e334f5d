/** Reads relays' copies of the store over keep-alive connections. */
import {createTRPCClient, httpLink, type TRPCClient} from '@trpc/client';
import {Agent, buildConnector} from 'undici';
import {z} from 'zod';
import {describeError} from '../object-api/json-client.js';
import {createPacedConnector} from '../http/paced-reads.js';
import {ReadPace} from '../http/read-pace.js';
import type {CallOptions} from '../object-api/object-api.js';
import {createUndiciFetch} from '../peer/undici-fetch.js';
import type {Logger} from '../util/logger.js';
import {withTimeLimit} from '../util/time-limit.js';
import type {KindEvents, KindList, Unavailable} from './kind-store.js';
import {positionFields} from './replica-messages.js';
import type {ReplicaReader} from './relayed-store.js';
import type {StorePosition} from './store-position.js';
import type {ReplicaRouter} from './replica-server.js';

/** Time limit of a call in ms, many times the round trip within a failure domain. After it the store is read directly. */
const CALL_TIMEOUT_MS = 300;
/** Shorter than the keep-alive timeout of this project's servers, which is Node's default of 5 s. */
const IDLE_CONNECTION_MS = 4000;
/** Largest answer that is read: a configuration of a megabyte and the registrations of some thousand servers. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

const objectSchema = z.object({name: z.string(), revision: z.number(), value: z.unknown()});
const unavailableSchema = z.object({kind: z.literal('unavailable'), message: z.string()});
const listSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('listed'), objects: z.array(objectSchema), ...positionFields}),
	unavailableSchema,
]);
const eventSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('changed'), object: objectSchema}),
	z.object({kind: z.literal('deleted'), name: z.string()}),
]);
const eventsSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('events'), events: z.array(eventSchema), ...positionFields}),
	z.object({kind: z.literal('compacted')}),
	z.object({kind: z.literal('restored'), era: z.number()}),
	unavailableSchema,
]);

export class ReplicaClient implements ReplicaReader {
	/** `port` is the peer port, which is the same on all daemons. */
	static create(port: number, logger: Logger): ReplicaClient {
		return new ReplicaClient(port, logger);
	}

	readonly #agent = new Agent({
		keepAliveTimeout: IDLE_CONNECTION_MS,
		keepAliveMaxTimeout: IDLE_CONNECTION_MS,
		connect: createPacedConnector(buildConnector({timeout: CALL_TIMEOUT_MS}), ReadPace.create()),
		maxResponseSize: MAX_ANSWER_BYTES,
	});

	readonly #clients = new Map<string, TRPCClient<ReplicaRouter>>();

	private constructor(private readonly port: number, private readonly logger: Logger) {}

	async list(relay: string, kind: string, {signal}: CallOptions): Promise<KindList> {
		return this.#call('list', relay, signal, async options => listSchema.parse(await this.#client(relay).list.query({kind}, options)) as KindList);
	}

	async changesSince(relay: string, kind: string, {era, revision}: StorePosition, {signal}: CallOptions): Promise<KindEvents> {
		return this.#call('since', relay, signal, async options =>
			eventsSchema.parse(await this.#client(relay).since.query({kind, era, revision}, options)) as KindEvents);
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #call<T>(
		procedure: string,
		relay: string,
		signal: AbortSignal | undefined,
		call: (options: {readonly signal: AbortSignal}) => Promise<T>,
	): Promise<T | Unavailable> {
		try {
			return await withTimeLimit({timeoutMs: CALL_TIMEOUT_MS, signal}, async limited => call({signal: limited}));
		} catch (err) {
			const message = `${procedure} call to relay ${relay} failed: ${describeError(err)}`;
			this.logger.warn('relay_unavailable', {relay, message});
			return {kind: 'unavailable', message};
		}
	}

	#client(relay: string): TRPCClient<ReplicaRouter> {
		let client = this.#clients.get(relay);
		if (!client) {
			client = createTRPCClient<ReplicaRouter>({links: [httpLink({url: `http://${relay}:${this.port}`, fetch: createUndiciFetch(this.#agent)})]});
			this.#clients.set(relay, client);
		}

		return client;
	}
}
