import type {EngineListing} from '../../src/backend/engine-protocol.js';
import type {BackendProbe, ProbeTarget} from '../../src/capacity/backend-probe.js';
import type {ReservationRequest} from '../../src/capacity/pool-reservation.js';
import type {ConfigurationSource} from '../../src/configuration/configuration-source.js';
import {type Configuration, configurationSchema, type ModelService} from '../../src/configuration/schema.js';
import type {Logger} from '../../src/util/logger.js';
import {lengthClassOf} from '../../src/util/length-class.js';

const ignore = (): void => undefined;

export const silentLogger: Logger = {
	error: ignore, warn: ignore, info: ignore, debug: ignore,
};

export const modelService: ModelService = {
	kind: 'model',
	name: 'fio-lm',
	failureDomains: ['braga'],
	models: [{name: 'fio', version: '1'}],
	warm: {requests: 8, prefillTokens: 100_000},
	cold: {requests: 2, prefillTokens: 8000},
	kvTokens: 100_000,
	prefillTokensPerSecond: 10_000,
	decodeTokensPerSecond: 50,
	longPromptShare: 0.5,
	maxGangSize: 4,
	fencing: 'checked',
	poolShards: 1,
};

const generousLimits = {requestsPerSecond: 1000, concurrentRequests: 1000, promptTokensPerMinute: 1e9};

export const workspaceOf = (name: string, weight = 1, limits = generousLimits) => ({
	name, weight, limits, apiKeyDigests: ['0'.repeat(64)], services: ['fio-lm'], priorities: {
		short: 'normal', medium: 'normal', long: 'normal', huge: 'normal',
	},
});

export const configurationOf = (fields: Partial<Configuration> = {}): Configuration => configurationSchema.parse({
	formatVersion: 1,
	deployment: 'sacaria',
	failureDomains: [{name: 'braga', region: 'pt-norte', state: 'in'}],
	services: [modelService],
	priorities: [{name: 'urgent', rank: 0}, {name: 'normal', rank: 5}],
	objectives: [],
	workspaces: [workspaceOf('orders'), workspaceOf('reviews', 3)],
	claims: {retentionMs: 86_400_000, partitions: 4},
	weightStore: {loadsPerMinute: 10},
	...fields,
});

/** A configuration that tests can replace. */
export function configurationFixture(initial = configurationOf()): ConfigurationSource & {replace(next: Configuration): void} {
	let accepted = {version: 1, configuration: initial};
	const listeners = new Set<(next: typeof accepted) => void>();
	return {
		current: () => accepted,
		onChange(listener) {
			listeners.add(listener);
			return () => listeners.delete(listener);
		},
		replace(configuration) {
			accepted = {version: accepted.version + 1, configuration};
			for (const listener of listeners) {
				listener(accepted);
			}
		},
	};
}

/** An engine without work, warm or cold. Tests put left-over streams into it. */
export class IdleEngines implements BackendProbe {
	warm = true;
	streams: EngineListing['streams'] = [];
	readonly cancelled: string[] = [];

	async health() {
		return {boot: 'b1', warm: this.warm};
	}

	async load() {
		return {
			boot: 'b1', warm: this.warm, ageMs: 0, runningRequests: 0,
		};
	}

	async listing(): Promise<EngineListing> {
		return {
			boot: 'b1', warm: this.warm, streams: this.streams, segments: [],
		};
	}

	async cancel(_target: ProbeTarget, id: string): Promise<void> {
		this.cancelled.push(id);
		this.streams = this.streams.filter(stream => stream.id !== id);
	}

	async freeSegment(): Promise<void> {
		// No segments.
	}
}

export const requestOf = (id: string, fields: Partial<ReservationRequest> = {}): ReservationRequest => ({
	id,
	pool: 'braga/fio-lm/0',
	workspace: 'orders',
	priority: 5,
	weight: 1,
	lengthClass: lengthClassOf(fields.promptTokens ?? 1000),
	promptTokens: 1000,
	kvTokens: (fields.promptTokens ?? 1000) + 100,
	prefixHashes: [],
	remainingMs: 20_000,
	exclude: [],
	...fields,
});
