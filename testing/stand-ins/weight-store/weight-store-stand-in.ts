/** Stand-in for the platform's rate-limited weight store: `GET /weights/<model>/<version>`; control routes: `/faults`, `/counts`. */
import {z} from 'zod';
import {monotonicMs} from '../../../src/util/clock.js';
import {RateLimiter} from '../rate-limiter.js';
import {portSetting} from '../run-stand-in.js';
import {
	controlRoutes, delay, sendJson, StandInServer, type Exchange, type Route,
} from '../stand-in-server.js';

const SECONDS_PER_MINUTE = 60;

export const weightStoreSettingsSchema = z.object({
	port: portSetting,
	loadsPerMinute: z.coerce.number().min(0).default(0).describe('loads per minute above which the stand-in responds with 429, 0 for no limit'),
	burst: z.coerce.number().int().positive().default(1).describe('loads that may start in a burst'),
	loadMs: z.coerce.number().min(0).default(0).describe('duration of one load in ms'),
});

const faultsSchema = z.strictObject({
	outage: z.enum(['none', 'refuse']).default('none'),
	slowMs: z.number().min(0).default(0),
});

export class WeightStoreStandIn {
	static async create(input: z.input<typeof weightStoreSettingsSchema> = {}): Promise<WeightStoreStandIn> {
		const standIn = new WeightStoreStandIn(weightStoreSettingsSchema.parse(input));
		standIn.#server = await StandInServer.create(standIn.#settings.port, standIn.#routes());
		return standIn;
	}

	readonly #settings: z.infer<typeof weightStoreSettingsSchema>;
	readonly #rateLimiter: RateLimiter;
	readonly #counts = {loads: 0, refused: 0};
	readonly #loadsByVersion = new Map<string, number>();
	#faults = faultsSchema.parse({});
	#server!: StandInServer;

	private constructor(settings: z.infer<typeof weightStoreSettingsSchema>) {
		this.#settings = settings;
		this.#rateLimiter = RateLimiter.create(settings.loadsPerMinute / SECONDS_PER_MINUTE, settings.burst, monotonicMs());
	}

	get address(): string {
		return this.#server.address;
	}

	async close(): Promise<void> {
		await this.#server.close();
	}

	#routes(): readonly Route[] {
		return [
			...controlRoutes({
				schema: faultsSchema,
				faults: () => this.#faults,
				setFaults: faults => {
					this.#faults = faults;
				},
				counts: () => ({...this.#counts, byVersion: Object.fromEntries(this.#loadsByVersion)}),
			}),
			{method: 'GET', pattern: /^\/weights\/(?<model>[^\/]+)\/(?<version>[^\/]+)$/v, handle: async exchange => this.#load(exchange)},
		];
	}

	async #load({res, groups}: Exchange): Promise<void> {
		if (this.#faults.outage === 'refuse') {
			sendJson(res, 503, {error: 'unavailable'});
			return;
		}

		if (!this.#rateLimiter.take(monotonicMs())) {
			this.#counts.refused++;
			sendJson(res, 429, {error: 'rate limit exceeded'}, {'retry-after': String(Math.ceil(this.#rateLimiter.waitMs() / 1000))});
			return;
		}

		const version = `${groups.model}@${groups.version}`;
		this.#counts.loads++;
		this.#loadsByVersion.set(version, (this.#loadsByVersion.get(version) ?? 0) + 1);
		await delay(this.#settings.loadMs + this.#faults.slowMs);
		sendJson(res, 200, {weights: version});
	}
}
