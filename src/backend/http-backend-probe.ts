/** Queries and cancellations that a coordinator sends to backend servers directly over HTTP. */
import type {CancelOutcome, EngineCallOptions} from '../streams/engine-streams.js';
import type {EngineClient} from './engine-client.js';
import type {EngineHealth, EngineListing} from './engine-protocol.js';
import {plainServiceHealthSchema, plainServiceLoadSchema} from './plain-service-protocol.js';
import {QueryClient, type QueryAnswer} from './query-client.js';

/** The backend server to call. `address` is IP:PORT. */
type Target = {
	readonly address: string;
	readonly kind: 'model' | 'plain';
};

/** Load of an engine or of a plain service, which has no prefill. */
type Load = EngineHealth & {
	readonly ageMs: number;
	readonly runningRequests: number;
	readonly pendingPrefillTokens?: number;
	readonly models?: readonly string[];
	readonly modelVersions?: Readonly<Record<string, string>>;
};

function unwrapAnswer<T>(target: Target, answer: QueryAnswer<T>): T {
	if (answer.kind === 'failed') {
		throw new Error(`query to ${target.address} failed: ${answer.message}`);
	}

	return answer.value;
}

function assertCancelled(target: Target, outcome: CancelOutcome): void {
	if (outcome.kind === 'unreachable') {
		throw new Error(`cancellation at ${target.address} failed: ${outcome.message}`);
	}
}

/** Calls engines and plain services. Methods reject if the server cannot be reached or gives no valid answer. */
export class HttpBackendProbe {
	static create(engine: EngineClient): HttpBackendProbe {
		return new HttpBackendProbe(engine, QueryClient.create());
	}

	private constructor(private readonly engine: EngineClient, private readonly plain: QueryClient) {}

	async health(target: Target, options: EngineCallOptions): Promise<EngineHealth> {
		return target.kind === 'model'
			? unwrapAnswer(target, await this.engine.health(target.address, options))
			: unwrapAnswer(target, await this.plain.query(target.address, '/health', plainServiceHealthSchema, options));
	}

	async load(target: Target, options: EngineCallOptions): Promise<Load> {
		return target.kind === 'model'
			? unwrapAnswer(target, await this.engine.load(target.address, options))
			: unwrapAnswer(target, await this.plain.query(target.address, '/load', plainServiceLoadSchema, options));
	}

	async listing(target: Target, options: EngineCallOptions): Promise<EngineListing> {
		return unwrapAnswer(target, await this.engine.listing(target.address, options));
	}

	async cancel(target: Target, streamId: string, options: EngineCallOptions): Promise<void> {
		assertCancelled(target, await this.engine.cancelStream(target.address, streamId, options));
	}

	async freeSegment(target: Target, segmentId: string, options: EngineCallOptions): Promise<void> {
		assertCancelled(target, await this.engine.freeSegment(target.address, segmentId, options));
	}

	/** Aborts the calls to plain services. Those to engines end when the engine client is closed. */
	async close(): Promise<void> {
		await this.plain.close();
	}
}
