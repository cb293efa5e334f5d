/** What a coordinator asks backend servers directly, over HTTP. */
import type {CancelOutcome, EngineCallOptions} from '../streams/engine-streams.js';
import type {EngineClient} from './engine-client.js';
import type {EngineHealth, EngineListing} from './engine-protocol.js';
import {plainServiceHealthSchema, plainServiceLoadSchema} from './plain-service-protocol.js';
import {QueryClient, type QueryAnswer} from './query-client.js';

/** A backend server to ask. `address` is IP:PORT. */
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

function valueOf<T>(target: Target, answer: QueryAnswer<T>): T {
	if (answer.kind === 'failed') {
		throw new Error(`asking ${target.address}: ${answer.message}`);
	}

	return answer.value;
}

function confirm(target: Target, outcome: CancelOutcome): void {
	if (outcome.kind === 'unreachable') {
		throw new Error(`freeing at ${target.address}: ${outcome.message}`);
	}
}

/** Asks engines and plain services. Methods reject when the server does not answer as it should. */
export class HttpBackendProbe {
	static create(engine: EngineClient): HttpBackendProbe {
		return new HttpBackendProbe(engine, QueryClient.create());
	}

	private constructor(private readonly engine: EngineClient, private readonly plain: QueryClient) {}

	async health(target: Target, options: EngineCallOptions): Promise<EngineHealth> {
		return target.kind === 'model'
			? valueOf(target, await this.engine.health(target.address, options))
			: valueOf(target, await this.plain.query(target.address, '/health', plainServiceHealthSchema, options));
	}

	async load(target: Target, options: EngineCallOptions): Promise<Load> {
		return target.kind === 'model'
			? valueOf(target, await this.engine.load(target.address, options))
			: valueOf(target, await this.plain.query(target.address, '/load', plainServiceLoadSchema, options));
	}

	async listing(target: Target, options: EngineCallOptions): Promise<EngineListing> {
		return valueOf(target, await this.engine.listing(target.address, options));
	}

	async cancel(target: Target, streamId: string, options: EngineCallOptions): Promise<void> {
		confirm(target, await this.engine.cancelStream(target.address, streamId, options));
	}

	async freeSegment(target: Target, segmentId: string, options: EngineCallOptions): Promise<void> {
		confirm(target, await this.engine.freeSegment(target.address, segmentId, options));
	}

	/** Ends the calls to plain services; those to engines end with the engine client. */
	async close(): Promise<void> {
		await this.plain.close();
	}
}
