/**
 * State machine of the pace of one backend server: `born` before its first request, `probed` while its first requests are under way,
 * `growing` while answers raise its limit, `full` without a limit, `backed_off` after answers that were slow, refused or broken.
 */

/** Requests that all daemons together send before the first answer. With one, a single lost answer would stop the probe. */
export const PROBE_LIMIT = 2;
/** Added to the limit by each good answer: twice as many requests are sent in each round of first events. */
const GROWTH_PER_ANSWER = 2;
/** A server that has answered well for this time in ms at a load below its limit is not limited any more. */
const FULL_AFTER_MS = 10_000;
/** Factors of the limit after a slow or refused request, which shows where the limit is, and after a failed one. */
const SLOW_FACTOR = 0.7;
const FAILED_FACTOR = 0.5;
/** Time in ms for which a limit that has fallen does not rise. Doubles with each failure in a row; a server that serves again is found within the maximum. */
const MIN_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 1000;
/** Failures in a row from which a server gets no requests that another one may get until its back-off is over. */
const HELD_FAILURES = 2;

export type PacePhase =
	| {readonly kind: 'born'}
	| {readonly kind: 'probed'}
	/** `isCautious`: the limit has fallen before and rises by one in each round of answers. */
	| {readonly kind: 'growing'; readonly limit: number; readonly isCautious: boolean; readonly since: number}
	| {readonly kind: 'full'}
	| {
		readonly kind: 'backed_off';
		readonly limit: number;
		readonly since: number;
		readonly until: number;
		/** Failures in a row. */
		readonly failures: number;
	};

export type PhaseKind = PacePhase['kind'];

export const phaseKinds: readonly PhaseKind[] = ['born', 'probed', 'growing', 'full', 'backed_off'];

/** What one request shows of its server. */
export type Observation = {
	readonly kind: 'good' | 'slow' | 'rejected' | 'failed';
	readonly placedAt: number;
	/** Requests of all daemons that the server has had, with this one. */
	readonly open: number;
	/** Requests that the server runs at once. */
	readonly slots: number;
};

/** Requests that all daemons together may have on the server. */
export function limitOf(phase: PacePhase): number {
	switch (phase.kind) {
		case 'born':
		case 'probed': {
			return PROBE_LIMIT;
		}

		case 'growing':
		case 'backed_off': {
			return phase.limit;
		}

		case 'full': {
			return Infinity;
		}
	}
}

/** Whether an answer shows a broken server. One that refuses its only request is not full. */
export const isFailure = ({kind, open}: Pick<Observation, 'kind' | 'open'>): boolean => kind === 'failed' || (kind === 'rejected' && open <= 1);

/** Whether the server has failed again and again and not served since. */
export const isFailing = (phase: PacePhase): boolean => phase.kind === 'backed_off' && phase.failures >= HELD_FAILURES;

/** Whether the server gets no request for now that another one may get. */
export const isHeld = (phase: PacePhase, now: number): boolean =>
	phase.kind === 'backed_off' && isFailing(phase) && now < phase.until;

export function nextPhase(phase: PacePhase, observation: Observation, now: number): PacePhase {
	switch (phase.kind) {
		case 'born':
		case 'probed': {
			return observation.kind === 'good' ? grow(PROBE_LIMIT, {isCautious: false, since: now}, observation, now) : backOff(PROBE_LIMIT, 0, observation, now);
		}

		case 'growing': {
			return observation.kind === 'good' ? grow(phase.limit, phase, observation, now) : backOff(phase.limit, 0, observation, now);
		}

		case 'full': {
			return observation.kind === 'good' ? phase : backOff(Infinity, 0, observation, now);
		}

		case 'backed_off': {
			if (observation.kind === 'good') {
				// The load at which a server failed all says nothing about what it bears once it serves again.
				return now < phase.until ? phase : grow(phase.limit, {isCautious: phase.failures < HELD_FAILURES, since: now}, observation, now);
			}

			// Requests sent before the limit fell show the same fault again.
			return observation.placedAt < phase.since ? phase : backOff(phase.limit, phase.failures, observation, now);
		}
	}
}

function grow(limit: number, {isCautious, since}: {readonly isCautious: boolean; readonly since: number}, {open, slots}: Observation, now: number): PacePhase {
	// A limit that is not used is not shown to be borne.
	const isUsed = 2 * open >= Math.floor(limit);
	// A server beyond its pace, because all others are, has shown to bear what it has.
	const grown = isCautious ? limit + (1 / limit) : Math.max(limit + GROWTH_PER_ANSWER, open);
	const raised = isUsed ? grown : limit;
	return raised >= slots || now - since >= FULL_AFTER_MS
		? {kind: 'full'}
		: {
			kind: 'growing', limit: raised, isCautious, since,
		};
}

function backOff(limit: number, earlierFailures: number, observation: Observation, now: number): PacePhase {
	const {open} = observation;
	const failures = isFailure(observation) ? earlierFailures + 1 : 0;
	const factor = isFailure(observation) ? FAILED_FACTOR : SLOW_FACTOR;
	return {
		kind: 'backed_off',
		limit: Math.max(1, factor * Math.min(limit, Math.max(1, open))),
		since: now,
		until: now + Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * (2 ** Math.max(0, failures - 1))),
		failures,
	};
}
