/** Stand-in for the platform's object API. Protocol: `src/object-api/object-api.ts`; control routes: `/faults`, `/counts`, `/dump`. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {z} from 'zod';
import {monotonicMs} from '../../../src/util/clock.js';
import {callerOf, UnansweredCalls, isCutOff} from '../unanswered-calls.js';
import {RateLimiter} from '../rate-limiter.js';
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

	readonly #callsByCaller = new Map<string, number>();
	readonly #unansweredCalls = UnansweredCalls.create();
	readonly #lateWriteTimers = new Set<NodeJS.Timeout>();
	readonly #random;
	#faults: ObjectApiFaults = objectApiFaultsSchema.parse({});
	#remainingLosses = Infinity;
	#writeLimit!: RateLimiter;
	#readLimit!: RateLimiter;
	#server!: StandInServer;

	private constructor(settings: ObjectApiSettings) {
		this.#settings = settings;
		this.#random = xoroshiro128plus(settings.seed);
		this.#setLimits();
	}

	get address(): string {
		return this.#server.address;
	}

	/** Replaces all faults and closes the connections of calls that an earlier fault left unanswered. */
	setFaults(faults: z.input<typeof objectApiFaultsSchema>): void {
		this.#faults = objectApiFaultsSchema.parse(faults);
		this.#remainingLosses = this.#faults.lost?.count ?? Infinity;
		this.#setLimits();
		this.#unansweredCalls.closeAll();
	}

	/** Number of calls since the start; `callers` is the number of calls by `x-caller`. */
	counts(): Readonly<Record<string, unknown>> {
		return {...this.#counts, callers: Object.fromEntries(this.#callsByCaller)};
	}

	async close(): Promise<void> {
		for (const timer of this.#lateWriteTimers) {
			clearTimeout(timer);
		}

		await this.#server.close();
	}

	#setLimits(): void {
		const writes = this.#faults.writesPerSecond ?? this.#settings.writesPerSecond;
		const reads = this.#faults.readsPerSecond ?? this.#settings.readsPerSecond;
		this.#writeLimit = RateLimiter.create(writes, writes, monotonicMs());
		this.#readLimit = RateLimiter.create(reads, reads, monotonicMs());
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
				method: 'GET', pattern: /^\/v1\/objects$/v, handle: this.#wrapHandler('lists', exchange => {
					this.#list(exchange);
				}),
			},
			{
				method: 'GET', pattern: key, handle: this.#wrapHandler('reads', exchange => {
					this.#read(exchange);
				}),
			},
			{method: 'PUT', pattern: key, handle: this.#wrapHandler('writes', async exchange => this.#put(exchange))},
			{method: 'DELETE', pattern: key, handle: this.#wrapHandler('writes', async exchange => this.#delete(exchange))},
			{method: 'GET', pattern: /^\/v1\/watch\/(?<key>.+)$/v, handle: this.#wrapHandler('watches', async exchange => this.#watch(exchange))},
		];
	}

	/** Wraps the handler of a call with counting, outages, rate limits and delays. */
	#wrapHandler(kind: CallKind, handle: (exchange: Exchange) => void | Promise<void>): Route['handle'] {
		return async exchange => {
			const caller = callerOf(exchange);
			this.#counts[kind]++;
			this.#callsByCaller.set(caller, (this.#callsByCaller.get(caller) ?? 0) + 1);
			if (this.#isIntercepted(exchange)) {
				return;
			}

			const limit = kind === 'writes' ? this.#writeLimit : this.#readLimit;
			if (!limit.take(monotonicMs())) {
				this.#counts.rateLimited++;
				sendJson(exchange.res, 429, {error: 'rate limit exceeded'}, {'retry-after': '1'});
				return;
			}

			await delay(this.#faults.slowMs);
			await handle(exchange);
		};
	}

	/** Applies outages and cut-off callers. Returns true when the call must not be processed further. */
	#isIntercepted(exchange: Exchange): boolean {
		if (this.#faults.outage === 'refuse') {
			this.#counts.refused++;
			sendJson(exchange.res, 503, {error: 'unavailable'});
			return true;
		}

		const isUnanswered = this.#faults.outage === 'hang' || isCutOff(this.#faults.cutCallers, callerOf(exchange));
		if (isUnanswered) {
			this.#unansweredCalls.add(exchange);
		}

		return isUnanswered;
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
			sendJson(exchange.res, 413, {error: `value of ${bytes.length} bytes exceeds the limit of ${MAX_VALUE_BYTES} bytes`});
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
			sendJson(res, 428, {error: 'a write requires If-Match with a version or If-None-Match: *'});
			return;
		}

		// A fault may have been set while the body was being read.
		if (this.#isIntercepted(exchange)) {
			return;
		}

		const key = groups.key!;
		const apply = (): WriteResult => this.#applyWrite(key, expected, value);
		if (this.#takesLoss(key)) {
			this.#loseResponse(apply);
			closeConnection(res);
			return;
		}

		const result = apply();
		sendJson(res, result.kind === 'written' ? 200 : 412, {version: result.version});
	}

	#applyWrite(key: string, expected: number, value: unknown): WriteResult {
		const result = this.#store.write(key, expected, value);
		this.#counts.conflicts += result.kind === 'conflict' ? 1 : 0;
		return result;
	}

	#takesLoss(key: string): boolean {
		const {lost} = this.#faults;
		if (!lost || !key.startsWith(lost.keyPrefix) || this.#remainingLosses <= 0) {
			return false;
		}

		const isHit = uniformFloat64(this.#random) < lost.share;
		this.#remainingLosses -= isHit ? 1 : 0;
		return isHit;
	}

	#loseResponse(apply: () => WriteResult): void {
		this.#counts.lost++;
		const lost = this.#faults.lost!;
		if (lost.mode === 'after-effect') {
			apply();
		}

		if (lost.mode === 'late-effect') {
			const timer = setTimeout(() => {
				this.#lateWriteTimers.delete(timer);
				apply();
			}, lost.lateMs);
			this.#lateWriteTimers.add(timer);
		}
	}

	async #watch(exchange: Exchange): Promise<void> {
		const {res, url, groups} = exchange;
		const disconnected = new AbortController();
		res.on('close', () => {
			disconnected.abort();
		});
		const after = Number(url.searchParams.get('after') ?? 0);
		const waitMs = Math.min(MAX_WATCH_MS, Number(url.searchParams.get('waitMs') ?? 0));
		this.#counts.pendingWatches++;
		const entry = await this.#store.watch(groups.key!, after, waitMs, disconnected.signal);
		this.#counts.pendingWatches--;
		if (disconnected.signal.aborted || this.#isIntercepted(exchange)) {
			return;
		}

		if (entry) {
			sendJson(res, 200, entry);
		} else {
			res.writeHead(204).end();
		}
	}
}
