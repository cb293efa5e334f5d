/** Stand-in for a model engine. Protocol: `src/backend/engine-protocol.ts`; control routes: `/faults`, `/counts`. */
import type {ServerResponse} from 'node:http';
import {z} from 'zod';
import {
	engineOrderSchema, segmentReferenceSchema, segmentRequestSchema, streamRequestSchema,
	type EngineLoad,
} from '../../../src/backend/engine-protocol.js';
import {monotonicMs} from '../../../src/util/clock.js';
import {LaggedValue} from '../lagged-value.js';
import {
	closeConnection, controlRoutes, delay, readBytes, readJson, sendJson, StandInServer, type Exchange, type Route,
} from '../stand-in-server.js';
import {
	engineFaultsSchema, engineSettingsSchema, type EngineFaultsInput, type EngineSettings, type EngineSettingsInput,
} from './settings.js';
import {SimulatedEngine, type WorkRequest} from './simulated-engine.js';
import type {WorkItem} from './work-item.js';

/** Content of an exported stream: its parameters and progress, without the prompt. */
const exportSchema = z.object({
	model: z.string(),
	before: z.array(segmentReferenceSchema),
	priority: z.number(),
	promptTokens: z.number(),
	maxTokens: z.number(),
	producedTokens: z.number(),
	cachedTokens: z.number(),
	remainingMs: z.number(),
	digest: z.string(),
});

export class EngineStandIn {
	static async create(input: EngineSettingsInput = {}): Promise<EngineStandIn> {
		const standIn = new EngineStandIn(engineSettingsSchema.parse(input));
		standIn.#server = await StandInServer.create(standIn.#settings.port, standIn.#routes());
		return standIn;
	}

	readonly #settings: EngineSettings;
	readonly #engine: SimulatedEngine;
	readonly #loadReport: LaggedValue<Omit<EngineLoad, 'ageMs'>>;
	#server!: StandInServer;

	private constructor(settings: EngineSettings) {
		this.#settings = settings;
		this.#engine = SimulatedEngine.create(settings);
		this.#loadReport = LaggedValue.create(settings.loadLagMs, now => this.#engine.loadReport(now));
	}

	get address(): string {
		return this.#server.address;
	}

	/** Replaces the persistent faults and performs `act` once. The connection of `exchange` survives a crash. */
	setFaults(input: EngineFaultsInput, exchange?: Exchange): void {
		if (this.#engine.setFaults(input)) {
			this.#server.resetConnections(exchange?.req.socket);
		}
	}

	/** Counters over all boots, current health, and current memory use. */
	counts(): Readonly<Record<string, unknown>> {
		const {counts, boot} = this.#engine;
		return {
			...counts, ...this.#engine.health(monotonicMs()), kvTokensHeld: boot.memory.heldTokens, held: boot.scheduler.all().length,
		};
	}

	async close(): Promise<void> {
		this.#loadReport.close();
		this.#engine.close();
		await this.#server.close();
	}

	#routes(): readonly Route[] {
		const stream = /^\/v1\/streams\/(?<id>[^\/]+)$/v;
		return [
			...controlRoutes({
				schema: engineFaultsSchema,
				faults: () => this.#engine.faults,
				setFaults: (faults, exchange) => {
					this.setFaults(faults, exchange);
				},
				counts: () => this.counts(),
			}),
			{method: 'POST', pattern: /^\/v1\/streams$/v, handle: async exchange => this.#postStream(exchange)},
			{
				method: 'GET', pattern: /^\/v1\/streams$/v, handle: exchange => {
					this.#list(exchange);
				},
			},
			{method: 'GET', pattern: stream, handle: async exchange => this.#resume(exchange)},
			{
				method: 'DELETE', pattern: stream, handle: exchange => {
					this.#cancel(exchange, 'stream');
				},
			},
			{
				method: 'GET', pattern: /^\/v1\/streams\/(?<id>[^\/]+)\/export$/v, handle: exchange => {
					this.#export(exchange);
				},
			},
			{method: 'POST', pattern: /^\/v1\/streams\/(?<id>[^\/]+)\/import$/v, handle: async exchange => this.#import(exchange)},
			{method: 'POST', pattern: /^\/v1\/segments$/v, handle: async exchange => this.#postSegment(exchange)},
			{
				method: 'DELETE', pattern: /^\/v1\/segments\/(?<id>[^\/]+)$/v, handle: exchange => {
					this.#cancel(exchange, 'segment');
				},
			},
			// Called only by other engine stand-ins.
			{
				method: 'GET', pattern: /^\/v1\/segments\/(?<id>[^\/]+)\/prompt$/v, handle: exchange => {
					this.#readSegmentPrompt(exchange);
				},
			},
			{
				method: 'GET', pattern: /^\/health$/v, handle: ({res}) => {
					sendJson(res, 200, this.#engine.health(monotonicMs()));
				},
			},
			{
				method: 'GET', pattern: /^\/load$/v, handle: ({res}) => {
					sendJson(res, 200, this.#loadReport.read(monotonicMs()));
				},
			},
			{
				method: 'GET', pattern: /^\/cache-events$/v, handle: exchange => {
					this.#readCacheEvents(exchange);
				},
			},
			{method: 'POST', pattern: /^\/v1\/orders$/v, handle: async exchange => this.#postOrder(exchange)},
		];
	}

	async #postStream(exchange: Exchange): Promise<void> {
		const {segments, ...fields} = await readJson(exchange.req, streamRequestSchema);
		await delay(this.#engine.faults.acceptDelayMs);
		const work = this.#accept(exchange.res, 'stream', {...fields, before: segments});
		if (work) {
			this.#engine.counts.streamsStarted++;
			await this.#openStream(exchange.res, work, 0);
		}
	}

	async #postSegment(exchange: Exchange): Promise<void> {
		const {previous, ...fields} = await readJson(exchange.req, segmentRequestSchema);
		await delay(this.#engine.faults.acceptDelayMs);
		const work = this.#accept(exchange.res, 'segment', {...fields, before: previous, maxTokens: 0});
		if (work) {
			this.#engine.counts.segmentsStarted++;
			const {boot} = this.#engine;
			if (await this.#sendHeaders(exchange.res, work.id, 'application/json')) {
				boot.respondWhenPrefilled(work, exchange.res);
			}
		}
	}

	/** Starts a stream or segment. When it is not accepted, sends the error response and returns undefined. */
	#accept(res: ServerResponse, kind: WorkItem['kind'], request: WorkRequest, progress: Partial<WorkItem> = {}): WorkItem | undefined {
		const acceptance = this.#engine.accept(kind, request, monotonicMs(), progress);
		switch (acceptance.kind) {
			case 'accepted': {
				return acceptance.work;
			}

			case 'refused': {
				sendJson(res, acceptance.status, {error: acceptance.error});
				return undefined;
			}

			case 'crashed': {
				this.#server.resetConnections();
				return undefined;
			}
		}
	}

	async #openStream(res: ServerResponse, work: WorkItem, from: number): Promise<void> {
		const {boot} = this.#engine;
		if (await this.#sendHeaders(res, work.id, 'text/event-stream')) {
			boot.streamTo(work, res, from, this.#engine.faults.silentAfterTokens ?? Infinity);
		}
	}

	/** Sends the headers of an accepted request; returns false when the connection is closed, by the client or by a fault. */
	async #sendHeaders(res: ServerResponse, id: string, contentType: string): Promise<boolean> {
		await delay(this.#engine.faults.headersDelayMs);
		if (this.#engine.takeHeaderLoss()) {
			closeConnection(res);
		}

		if (res.destroyed || res.req.socket.destroyed) {
			return false;
		}

		const {boot, warm} = this.#engine.health(monotonicMs());
		res.writeHead(200, {
			'content-type': contentType, 'x-engine-boot': boot, 'x-engine-warm': String(warm), 'x-stream-id': id,
		});
		res.flushHeaders();
		return true;
	}

	#list({res}: Exchange): void {
		sendJson(res, 200, this.#engine.listing(monotonicMs()));
	}

	#findStream({res, groups}: Exchange): WorkItem | undefined {
		const work = this.#engine.boot.scheduler.get(groups.id!);
		if (work?.kind === 'stream') {
			return work;
		}

		sendJson(res, 404, {error: `stream ${groups.id} does not exist`});
		return undefined;
	}

	async #resume(exchange: Exchange): Promise<void> {
		const from = z.coerce.number().int().min(0).default(0).parse(exchange.url.searchParams.get('from') ?? undefined);
		const work = this.#findStream(exchange);
		if (work) {
			this.#engine.counts.streamsResumed++;
			await this.#openStream(exchange.res, work, from);
		}
	}

	#cancel({res, groups}: Exchange, kind: WorkItem['kind']): void {
		this.#engine.boot.cancel(groups.id!, kind);
		res.writeHead(204).end();
	}

	#readSegmentPrompt({res, groups}: Exchange): void {
		const work = this.#engine.boot.scheduler.get(groups.id!);
		if (work?.kind === 'segment' && work.state === 'finished' && !work.outcome) {
			res.end(work.prompt);
		} else {
			sendJson(res, 404, {error: `segment ${groups.id} does not exist or is not prefilled`});
		}
	}

	#export(exchange: Exchange): void {
		const work = this.#findStream(exchange);
		if (work && work.digest === undefined) {
			sendJson(exchange.res, 409, {error: `stream ${work.id} is not prefilled`});
		} else if (work) {
			const content = exportSchema.parse({...work, remainingMs: Math.max(1, work.expiresAt - monotonicMs())});
			exchange.res.writeHead(200, {'content-type': 'application/octet-stream'}).end(JSON.stringify(content));
		}
	}

	/** Continues an exported stream, with a response like that to a resume at `from`, by default at its position. */
	async #import(exchange: Exchange): Promise<void> {
		const {res, url, groups} = exchange;
		const bytes = await readBytes(exchange.req);
		const {remainingMs, model, before, priority, maxTokens, ...progress} = exportSchema.parse(JSON.parse(bytes.toString('utf8')));
		const request = {
			id: groups.id!, prompt: '', remainingMs, model, before, priority, maxTokens,
		};
		const accepted = this.#accept(res, 'stream', request, {...progress, prefillLeft: 0});
		if (accepted) {
			this.#engine.counts.streamsImported++;
			await this.#openStream(res, accepted, Number(url.searchParams.get('from') ?? progress.producedTokens));
		}
	}

	#readCacheEvents({res, url}: Exchange): void {
		sendJson(res, 200, this.#engine.boot.cacheEvents.read(Number(url.searchParams.get('after') ?? 0), monotonicMs()));
	}

	async #postOrder({req, res}: Exchange): Promise<void> {
		const order = await readJson(req, engineOrderSchema);
		const highest = this.#engine.applyOrder(order);
		if (highest === undefined) {
			sendJson(res, 200, {state: 'accepted'});
		} else {
			sendJson(res, 409, {highest});
		}
	}
}
