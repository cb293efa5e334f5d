/**
 * Tells an overload from a fault of one server, by the answers of its service in about the last second. When most servers of a service are
 * slow, refuse or fail at the same time, lower limits would only take room away from the service.
 */
import {DecayingCount} from '../util/decaying-count.js';
import {isFailure, type Observation} from './pace-phase.js';

const HALF_LIFE_MS = 1000;
/** Answers of the other servers that are needed for a comparison. */
const MIN_PEER_ANSWERS = 3;
/** A server is at fault if its share of bad answers is more than this multiple of that of the others, so never while half of theirs are bad. */
const FAULT_FACTOR = 2;
/** A server that refuses at this share of its slots is full. It is below 1 because the last placements are heard of 45 ms late. */
const FULL_SHARE = 0.75;

/** `busy`: answers that were slow or refused. */
type Counts = {readonly answers: DecayingCount; readonly busy: DecayingCount; readonly failed: DecayingCount};

/** `service` is undefined while only messages of other daemons name the server. */
export type JudgedServer = {readonly id: string; readonly service: string | undefined};

export class OverloadEvidence {
	static create(): OverloadEvidence {
		return new OverloadEvidence();
	}

	readonly #servers = new Map<string, Counts>();
	readonly #services = new Map<string, Counts>();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Records an answer. Returns whether it is a bad one that shows an overload instead of a fault of its server. */
	record({id, service}: JudgedServer, observation: Observation, now: number): boolean {
		if (observation.kind === 'rejected' && observation.open >= FULL_SHARE * observation.slots) {
			return true;
		}

		if (service === undefined) {
			return false;
		}

		const own = countsOf(this.#servers, id);
		const all = countsOf(this.#services, service);
		own.answers.add(now);
		all.answers.add(now);
		if (observation.kind === 'good') {
			return false;
		}

		const bad = isFailure(observation) ? 'failed' : 'busy';
		own[bad].add(now);
		all[bad].add(now);
		const peerAnswers = all.answers.count(now) - own.answers.count(now);
		const peerShare = (all[bad].count(now) - own[bad].count(now)) / peerAnswers;
		return peerAnswers >= MIN_PEER_ANSWERS && own[bad].count(now) / own.answers.count(now) <= FAULT_FACTOR * peerShare;
	}

	/** Removes servers that are not in `known`. */
	retain(known: ReadonlySet<string>): void {
		for (const id of this.#servers.keys()) {
			if (!known.has(id)) {
				this.#servers.delete(id);
			}
		}
	}
}

function countsOf(counts: Map<string, Counts>, key: string): Counts {
	let known = counts.get(key);
	if (!known) {
		known = {answers: DecayingCount.create(HALF_LIFE_MS), busy: DecayingCount.create(HALF_LIFE_MS), failed: DecayingCount.create(HALF_LIFE_MS)};
		counts.set(key, known);
	}

	return known;
}
