/** Stand-in of the platform's object API. Protocol: `src/object-api/object-api.ts`; control: `/faults`, `/counts`, `/dump`. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {z} from 'zod';
import {monotonicMs} from '../../../src/util/clock.js';
import {callerOf, HeldCalls, isCut} from '../held-calls.js';
import {RateLimit} from '../rate-limit.js';
import {
	closeConnection, controlRoutes, delay, readBytes, sendJson, StandInServer, type Exchange, type Route,
} from '../stand-in-server.js';
import {
	objectApiFaultsSchema, objectApiSettingsSchema, type ObjectApiFaults, type ObjectApiSettings,
} from './faults.js';
import {ObjectStore, type WriteResult} from './object-store.js';

const MAX_VALUE_BYTES = 1024 * 1024;
const MAX_WATCH_MS = 60_000;

type CallKind = 'reads' | 'writes' | 'lists' | 'watches';

export class ObjectApiStandIn {
	static async create(input: z.input<typeof objectApiSettingsSchema> = {}): Promise<ObjectApiStandIn> {
		const standIn = new ObjectApiStandIn(objectApiSettingsSchema.parse(input));
		standIn.#server = await StandInServer.create(standIn.#settings.port, standIn.#routes());
		return standIn;
	}

	readonly #settings: ObjectApiSettings;
	readonly #store = ObjectStore.create();
	readonly #counts = {
		reads: 0, writes: 0, lists: 0, watches: 0, conflicts: 0, rateLimited: 0, refused: 0, lost: 0, pendingWatches: 0,
	};

	readonly #callers = new Map<string, number>();
	readonly #held = HeldCalls.create();
	readonly #lateWrites = new Set<NodeJS.Timeout>();
	readonly #random;
	#faults: ObjectApiFaults = objectApiFaultsSchema.parse({});
	#lostLeft = Infinity;
	#writeLimit!: RateLimit;
	#readLimit!: RateLimit;
	#server!: StandInServer;

	private constructor(settings: ObjectApiSettings) {
		this.#settings = settings;
		this.#random = xoroshiro128plus(settings.seed);
		this.#setLimits();
	}

	get address(): string {
		return this.#server.address;
	}

	/** Replaces all faults. Connections that an earlier fault held open are closed. */
	setFaults(faults: z.input<typeof objectApiFaultsSchema>): void {
		this.#faults = objectApiFaultsSchema.parse(faults);
		this.#lostLeft = this.#faults.lost?.count ?? Infinity;
		this.#setLimits();
		this.#held.release();
	}

	/** Counts of calls since the start. `callers` counts calls by `x-caller`. */
	counts(): Readonly<Record<string, unknown>> {
		return {...this.#counts, callers: Object.fromEntries(this.#callers)};
	}

	async close(): Promise<void> {
		for (const timer of this.#lateWrites) {
			clearTimeout(timer);
		}

		await this.#server.close();
	}

	#setLimits(): void {
		const writes = this.#faults.writesPerSecond ?? this.#settings.writesPerSecond;
		const reads = this.#faults.readsPerSecond ?? this.#settings.readsPerSecond;
		this.#writeLimit = RateLimit.create(writes, writes, monotonicMs());
		this.#readLimit = RateLimit.create(reads, reads, monotonicMs());
	}

	#routes(): readonly Route[] {
		const key = /^\/v1\/objects\/(?<key>.+)$/v;
		return [
			...controlRoutes({
				schema: objectApiFaultsSchema,
				faults: () => this.#faults,
				setFaults: faults => {
					this.setFaults(faults);
				},
				counts: () => this.counts(),
			}),
			{
				method: 'GET', pattern: /^\/dump$/v, handle: ({res}) => {
					sendJson(res, 200, {objects: this.#store.list('')});
				},
			},
			{
				method: 'GET', pattern: /^\/v1\/objects$/v, handle: this.#call('lists', exchange => {
					this.#list(exchange);
				}),
			},
			{
				method: 'GET', pattern: key, handle: this.#call('reads', exchange => {
					this.#read(exchange);
				}),
			},
			{method: 'PUT', pattern: key, handle: this.#call('writes', async exchange => this.#put(exchange))},
			{method: 'DELETE', pattern: key, handle: this.#call('writes', async exchange => this.#delete(exchange))},
			{method: 'GET', pattern: /^\/v1\/watch\/(?<key>.+)$/v, handle: this.#call('watches', async exchange => this.#watch(exchange))},
		];
	}

	/** Wraps the handler of a call with counting, rate limits, outages and slowness. */
	#call(kind: CallKind, handle: (exchange: Exchange) => void | Promise<void>): Route['handle'] {
		return async exchange => {
			const caller = callerOf(exchange);
			this.#counts[kind]++;
			this.#callers.set(caller, (this.#callers.get(caller) ?? 0) + 1);
			if (this.#isHeld(exchange)) {
				return;
			}

			const limit = kind === 'writes' ? this.#writeLimit : this.#readLimit;
			if (!limit.take(monotonicMs())) {
				this.#counts.rateLimited++;
				sendJson(exchange.res, 429, {error: 'rate limit'}, {'retry-after': '1'});
				return;
			}

			await delay(this.#faults.slowMs);
			await handle(exchange);
		};
	}

	/** Applies outage and cuts. Returns true when the call goes no further. */
	#isHeld(exchange: Exchange): boolean {
		if (this.#faults.outage === 'refuse') {
			this.#counts.refused++;
			sendJson(exchange.res, 503, {error: 'unavailable'});
			return true;
		}

		const isHeld = this.#faults.outage === 'hang' || isCut(this.#faults.cutCallers, callerOf(exchange));
		if (isHeld) {
			this.#held.hold(exchange);
		}

		return isHeld;
	}

	#list({res, url}: Exchange): void {
		sendJson(res, 200, {objects: this.#store.list(url.searchParams.get('prefix') ?? '')});
	}

	#read({res, groups}: Exchange): void {
		const entry = this.#store.get(groups.key!);
		sendJson(res, entry ? 200 : 404, entry ?? {error: 'absent'});
	}

	async #put(exchange: Exchange): Promise<void> {
		const bytes = await readBytes(exchange.req);
		if (bytes.length > MAX_VALUE_BYTES) {
			sendJson(exchange.res, 413, {error: `value of ${bytes.length} bytes is above ${MAX_VALUE_BYTES}`});
			return;
		}

		const value: unknown = JSON.parse(bytes.toString('utf8'));
		this.#write(exchange, value);
	}

	async #delete(exchange: Exchange): Promise<void> {
		this.#write(exchange, undefined);
	}

	#write(exchange: Exchange, value: unknown): void {
		const {req, res, groups} = exchange;
		const ifMatch = req.headers['if-match'];
		const expected = req.headers['if-none-match'] === '*' ? 0 : Number(ifMatch?.replaceAll('"', ''));
		if (!Number.isInteger(expected)) {
			sendJson(res, 428, {error: 'If-Match with a version or If-None-Match: * is required'});
			return;
		}

		// The fault may have been switched on while the body was read.
		if (this.#isHeld(exchange)) {
			return;
		}

		const key = groups.key!;
		const apply = (): WriteResult => this.#apply(key, expected, value);
		if (this.#isLost(key)) {
			this.#lose(apply);
			closeConnection(res);
			return;
		}

		const result = apply();
		sendJson(res, result.kind === 'written' ? 200 : 412, {version: result.version});
	}

	#apply(key: string, expected: number, value: unknown): WriteResult {
		const result = this.#store.write(key, expected, value);
		this.#counts.conflicts += result.kind === 'conflict' ? 1 : 0;
		return result;
	}

	#isLost(key: string): boolean {
		const {lost} = this.#faults;
		if (!lost || !key.startsWith(lost.keyPrefix) || this.#lostLeft <= 0) {
			return false;
		}

		const isHit = uniformFloat64(this.#random) < lost.share;
		this.#lostLeft -= isHit ? 1 : 0;
		return isHit;
	}

	#lose(apply: () => WriteResult): void {
		this.#counts.lost++;
		const lost = this.#faults.lost!;
		if (lost.mode === 'after-effect') {
			apply();
		}

		if (lost.mode === 'late-effect') {
			const timer = setTimeout(() => {
				this.#lateWrites.delete(timer);
				apply();
			}, lost.lateMs);
			this.#lateWrites.add(timer);
		}
	}

	async #watch(exchange: Exchange): Promise<void> {
		const {res, url, groups} = exchange;
		const gone = new AbortController();
		res.on('close', () => {
			gone.abort();
		});
		const after = Number(url.searchParams.get('after') ?? 0);
		const waitMs = Math.min(MAX_WATCH_MS, Number(url.searchParams.get('waitMs') ?? 0));
		this.#counts.pendingWatches++;
		const entry = await this.#store.watch(groups.key!, after, waitMs, gone.signal);
		this.#counts.pendingWatches--;
		if (gone.signal.aborted || this.#isHeld(exchange)) {
			return;
		}

		if (entry) {
			sendJson(res, 200, entry);
		} else {
			res.writeHead(204).end();
		}
	}
}
