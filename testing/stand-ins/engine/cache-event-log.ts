/** Cache events of a simulated engine. They become visible after a delay, and some are lost, which leaves gaps in the sequence. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {CacheEvents} from '../../../src/backend/engine-protocol.js';

const MAX_KEPT_EVENTS = 10_000;

type CacheEvent = CacheEvents['events'][number];

export class CacheEventLog {
	static create(options: {readonly lagMs: number; readonly lossShare: number; readonly seed: number}): CacheEventLog {
		return new CacheEventLog(options.lagMs, options.lossShare, options.seed);
	}

	readonly #lagMs: number;
	readonly #lossShare: number;
	readonly #random;
	#events: Array<CacheEvent & {readonly at: number}> = [];
	#sequence = 0;

	private constructor(lagMs: number, lossShare: number, seed: number) {
		this.#lagMs = lagMs;
		this.#lossShare = lossShare;
		this.#random = xoroshiro128plus(seed);
	}

	record(event: Omit<CacheEvent, 'sequence'>, now: number): void {
		this.#sequence++;
		if (uniformFloat64(this.#random) >= this.#lossShare) {
			this.#events.push({...event, sequence: this.#sequence, at: now});
		}

		if (this.#events.length > MAX_KEPT_EVENTS * 2) {
			this.#events = this.#events.slice(-MAX_KEPT_EVENTS);
		}
	}

	/** Events after `sequence` that are visible at `now`. */
	read(sequence: number, now: number): CacheEvents {
		const visible = this.#events.filter(event => event.sequence > sequence && event.at + this.#lagMs <= now);
		return {events: visible.map(({at: _, ...event}) => event)};
	}
}
