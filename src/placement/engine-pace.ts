/**
 * Estimates how much slower than its profile each engine runs, from the first events of all daemons' placements.
 *
 * Designed for engines that turn slow while they still answer every request: their health looks good, and one daemon of a
 * large fleet sends them too few requests to notice. The messages about placements carry the expected time to the first
 * event, so each daemon can compare it with the actual time, without further messages.
 *
 * A prompt that is prefilled by several engines waits for the slowest, so each of its engines gets the same ratio. An engine
 * that runs normally also takes part in groups without a slow one. Its low quantile is therefore about 1, whereas all
 * ratios of a slow engine are high. When the whole fleet is late, for instance in a burst that forecasts do not know of,
 * engines are compared with the median of the fleet.
 */
import type {PlacementEntry} from '../fleet/placement-table.js';

/** Added to both times in ms before they are compared: notification delay and half a pass, which are large beside short forecasts. */
const SLACK_MS = 50;
/** Most recent ratios that are kept for an engine, and the fewest from which its pace is estimated. */
const MAX_RATIOS = 9;
const MIN_RATIOS = 3;
const QUANTILE = 0.3;
/** Ratios up to this value are within the error of the forecast. */
const NORMAL_RATIO = 1.5;
/** An engine that is avoided gives no new ratios, so the excess of its last estimate is halved each time this has passed. */
const HALF_LIFE_MS = 4000;
/** Time in ms for which the median of the fleet is used before it is computed again. */
const MEDIAN_AGE_MS = 250;
/** A faulty measurement must not exclude an engine for long. */
const MAX_PACE = 8;

type PaceRecord = {readonly ratios: readonly number[]; readonly updatedAt: number};

/** Times of an entry that are compared. */
type StartedEntry = Pick<PlacementEntry, 'server' | 'helpers' | 'expectedMs' | 'placedAt' | 'startedAt'>;

export class EnginePace {
	static create(): EnginePace {
		return new EnginePace();
	}

	readonly #records = new Map<string, PaceRecord>();
	#median = 1;
	#medianAt = -Infinity;

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Records the first event of a placement. */
	recordStart({
		server, helpers, expectedMs, placedAt, startedAt,
	}: StartedEntry): void {
		if (expectedMs === undefined || expectedMs <= 0 || startedAt === undefined) {
			return;
		}

		const ratio = (startedAt - placedAt + SLACK_MS) / (expectedMs + SLACK_MS);
		for (const engine of [server, ...helpers]) {
			const ratios = [...this.#records.get(engine)?.ratios ?? [], ratio].slice(-MAX_RATIOS);
			this.#records.set(engine, {ratios, updatedAt: startedAt});
		}
	}

	/** Factor by which the engine takes longer than its profile says; 1 if it runs normally or little is known. */
	paceOf(server: string, now: number): number {
		const record = this.#records.get(server);
		if (!record || record.ratios.length < MIN_RATIOS) {
			return 1;
		}

		const ratio = quantile(record.ratios, QUANTILE) / this.#fleetMedian(now);
		if (ratio <= NORMAL_RATIO) {
			return 1;
		}

		const excess = Math.min(MAX_PACE, ratio) - 1;
		return 1 + (excess * (0.5 ** (Math.max(0, now - record.updatedAt) / HALF_LIFE_MS)));
	}

	/** Removes engines that are not in `known`. */
	retain(known: ReadonlySet<string>): void {
		for (const server of this.#records.keys()) {
			if (!known.has(server)) {
				this.#records.delete(server);
			}
		}
	}

	#fleetMedian(now: number): number {
		if (now - this.#medianAt > MEDIAN_AGE_MS) {
			const ratios = [...this.#records.values()].filter(record => record.ratios.length >= MIN_RATIOS).map(record => quantile(record.ratios, QUANTILE));
			this.#median = Math.max(1, quantile(ratios, 0.5));
			this.#medianAt = now;
		}

		return this.#median;
	}
}

/** The value below which the given share of `values` lies; 1 if there are none. */
function quantile(values: readonly number[], share: number): number {
	const sorted = [...values].sort((a, b) => a - b);
	return sorted[Math.floor(share * (sorted.length - 1))] ?? 1;
}
