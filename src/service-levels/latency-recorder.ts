/** Records latency histograms and outcome counters by service, workspace and length class. */
import type {LengthClass} from '../util/length-class.js';
import {LatencyHistogram, type Percentiles} from './latency-histogram.js';
import type {Series} from './levels-report.js';
import type {Observation, Outcome} from './observation.js';

/** Maximum number of series. With three histograms each, they use at most about 12 MB of memory. */
const MAX_SERIES = 2000;

/** Placeholder name for the workspaces that are not recorded separately, once the limit on their number is reached. */
export const OTHER_WORKSPACES = '*';

type Entry = {
	readonly service: string;
	readonly workspace: string;
	readonly lengthClass: LengthClass;
	readonly outcomes: Record<Outcome, number>;
	readonly firstToken: LatencyHistogram;
	readonly betweenTokens: LatencyHistogram;
	readonly total: LatencyHistogram;
};

/** Percentiles and outcomes of one series or of several merged series. */
export type LatencySummary = Readonly<Record<'firstToken' | 'betweenTokens' | 'total', Percentiles>> & {
	readonly outcomes: Readonly<Record<Outcome, number>>;
};

export class LatencyRecorder {
	static create(): LatencyRecorder {
		return new LatencyRecorder();
	}

	readonly #entries = new Map<string, Entry>();

	record(observation: Observation): void {
		const entry = this.#findOrAdd(observation);
		entry.outcomes[observation.outcome]++;
		entry.total.record(observation.totalMs);
		if (observation.firstTokenMs !== undefined) {
			entry.firstToken.record(observation.firstTokenMs);
		}

		if (observation.betweenTokensMs !== undefined) {
			entry.betweenTokens.record(observation.betweenTokensMs);
		}
	}

	/** Adds the serialized series of another recorder. Throws on a malformed histogram; that series and later ones are not added. */
	merge(series: readonly Series[]): void {
		for (const item of series) {
			const [firstToken, betweenTokens, total] = [item.firstToken, item.betweenTokens, item.total].map(text => LatencyHistogram.parse(text));
			const entry = this.#findOrAdd(item);
			entry.firstToken.add(firstToken!);
			entry.betweenTokens.add(betweenTokens!);
			entry.total.add(total!);
			for (const [outcome, count] of Object.entries(item.outcomes)) {
				entry.outcomes[outcome as Outcome] += count;
			}
		}
	}

	serialize(): readonly Series[] {
		return [...this.#entries.values()].map(({firstToken, betweenTokens, total, outcomes, ...key}) => ({
			...key,
			outcomes: {...outcomes},
			firstToken: firstToken.serialize(),
			betweenTokens: betweenTokens.serialize(),
			total: total.serialize(),
		}));
	}

	/** Merges the series of all workspaces for a service and length class. */
	summarize(service: string, lengthClass: LengthClass): LatencySummary {
		const sum = createEntry({service, lengthClass, workspace: OTHER_WORKSPACES});
		for (const entry of this.#entries.values()) {
			if (entry.service === service && entry.lengthClass === lengthClass) {
				addEntry(sum, entry);
			}
		}

		return {
			outcomes: sum.outcomes,
			firstToken: sum.firstToken.percentiles(),
			betweenTokens: sum.betweenTokens.percentiles(),
			total: sum.total.percentiles(),
		};
	}

	#findOrAdd(key: Pick<Observation, 'service' | 'workspace' | 'lengthClass'>): Entry {
		return this.#find(key) ?? (this.#entries.size < MAX_SERIES ? this.#add(key) : this.#findOrAddOther(key));
	}

	#findOrAddOther({service, lengthClass}: Pick<Observation, 'service' | 'lengthClass'>): Entry {
		const key = {service, lengthClass, workspace: OTHER_WORKSPACES};
		return this.#find(key) ?? this.#add(key);
	}

	#find(key: Pick<Observation, 'service' | 'workspace' | 'lengthClass'>): Entry | undefined {
		return this.#entries.get(formatKey(key));
	}

	#add(key: Pick<Observation, 'service' | 'workspace' | 'lengthClass'>): Entry {
		const entry = createEntry(key);
		this.#entries.set(formatKey(key), entry);
		return entry;
	}
}

const formatKey = ({service, workspace, lengthClass}: Pick<Observation, 'service' | 'workspace' | 'lengthClass'>): string => `${service}/${workspace}/${lengthClass}`;

const createEntry = ({service, workspace, lengthClass}: Pick<Observation, 'service' | 'workspace' | 'lengthClass'>): Entry => ({
	service,
	workspace,
	lengthClass,
	outcomes: {
		finished: 0, refused: 0, late: 0, failed: 0,
	},
	firstToken: LatencyHistogram.create(),
	betweenTokens: LatencyHistogram.create(),
	total: LatencyHistogram.create(),
});

function addEntry(sum: Entry, {firstToken, betweenTokens, total, outcomes}: Entry): void {
	sum.firstToken.add(firstToken);
	sum.betweenTokens.add(betweenTokens);
	sum.total.add(total);
	for (const [outcome, count] of Object.entries(outcomes)) {
		sum.outcomes[outcome as Outcome] += count;
	}
}
