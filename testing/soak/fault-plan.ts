/** Fault schedule of a soak test, generated from its seed before the run. */
import {createRandom} from '../load/arrivals.js';

/** A fault or planned operation. `daemon` and `server` are random numbers, taken modulo the daemons or servers present when it runs. */
export type Fault =
	| {readonly kind: 'kill' | 'pause'; readonly daemon: number; readonly ms: number}
	| {readonly kind: 'store'; readonly mode: 'busy' | 'silent' | 'reset'; readonly ms: number}
	| {readonly kind: 'compact'}
	/** The store is away for `ms` and comes back from a copy that is `ageMs` old. */
	| {readonly kind: 'restore'; readonly ageMs: number; readonly ms: number}
	| {readonly kind: 'store_path'; readonly daemon: number; readonly mode: PathMode; readonly ms: number}
	| {readonly kind: 'server_path'; readonly server: number; readonly mode: PathMode; readonly ms: number}
	| {readonly kind: 'server_fault'; readonly server: number; readonly fault: ServerFault}
	| {readonly kind: 'crash'; readonly server: number}
	/** A request that crashes each server that runs it is sent again and again for `ms`. */
	| {readonly kind: 'deadly'; readonly ms: number}
	/** Planned operations, during which no request may be interrupted. */
	| {readonly kind: 'stop'; readonly daemon: number}
	| {readonly kind: 'leave'; readonly server: number}
	/** Stores `versions` configurations, `intervalMs` apart. */
	| {readonly kind: 'configure'; readonly versions: number; readonly intervalMs: number}
	/** No trouble for a sound system: a server is silent for a second or so and goes on, or another writer leaves an entry among the servers. */
	| {readonly kind: 'silence'; readonly server: number; readonly ms: number}
	| {readonly kind: 'odd_entry'; readonly entry: OddEntry};

export type OddEntry = 'nested' | 'number' | 'port' | 'types';

export type PathMode = 'delay' | 'one_way' | 'silent' | 'reset';
export type ServerFault = 'break' | 'reset' | 'mute' | 'error' | 'foreign' | 'unsigned' | 'reject';

export type PlannedFault = {readonly at: number; readonly fault: Fault};

/** Phases in which faults and planned operations overlap alternate with phases of planned operations only. In each second one of these, a deadly request comes instead. */
export const MIXED_PHASE_MS = 6000;
/** Starts with {@link QUIET_MS} without operations, so that time bounds that count from the last fault have passed. */
export const PLANNED_PHASE_MS = 9000;
const QUIET_MS = 3500;
/** Interval between faults in ms, short enough for several to overlap. */
const MIXED_INTERVAL_MS = {from: 150, to: 700};
const PLANNED_INTERVAL_MS = {from: 300, to: 1500};
const FAULT_DURATION_MS = {from: 200, to: 2500};
const SILENCE_MS = {from: 1000, to: 1300};
const SERIES_VERSIONS = {from: 2, to: 8};
const SERIES_INTERVAL_MS = {from: 20, to: 300};
/** Several late requests fit between the stable window after the third crash and the end. */
const DEADLY_MS = 5500;

const pathModes = ['delay', 'one_way', 'silent', 'reset'] as const;
const serverFaults = ['break', 'reset', 'mute', 'error', 'foreign', 'unsigned', 'reject'] as const;
const storeModes = ['busy', 'silent', 'reset'] as const;
const oddEntries = ['nested', 'number', 'port', 'types'] as const;
const plannedPhaseKinds = ['stop', 'leave', 'configure', 'silence', 'odd_entry'] as const;
const mixedPhaseKinds = [
	'kill', 'pause', 'store', 'compact', 'restore', 'store_path', 'server_path', 'server_fault', 'server_fault', 'crash', ...plannedPhaseKinds,
] as const;

export function planFaults(seed: number, durationMs: number): readonly PlannedFault[] {
	const random = createRandom(seed);
	const drawInRange = ({from, to}: {readonly from: number; readonly to: number}) => Math.round(from + ((to - from) * random()));
	const pick = <T>(items: readonly T[]): T => items[Math.floor(random() * items.length)]!;
	const drawIndex = () => Math.floor(random() * 1000);
	const drawFault = (kind: Fault['kind']): Fault => {
		switch (kind) {
			case 'kill':
			case 'pause': {
				return {kind, daemon: drawIndex(), ms: drawInRange(FAULT_DURATION_MS)};
			}

			case 'store': {
				return {kind, mode: pick(storeModes), ms: drawInRange(FAULT_DURATION_MS)};
			}

			case 'restore': {
				return {kind, ageMs: drawInRange(FAULT_DURATION_MS), ms: drawInRange(FAULT_DURATION_MS)};
			}

			case 'store_path': {
				return {
					kind, daemon: drawIndex(), mode: pick(pathModes), ms: drawInRange(FAULT_DURATION_MS),
				};
			}

			case 'server_path': {
				return {
					kind, server: drawIndex(), mode: pick(pathModes), ms: drawInRange(FAULT_DURATION_MS),
				};
			}

			case 'server_fault': {
				return {kind, server: drawIndex(), fault: pick(serverFaults)};
			}

			case 'stop': {
				return {kind, daemon: drawIndex()};
			}

			case 'crash':
			case 'leave': {
				return {kind, server: drawIndex()};
			}

			case 'silence': {
				return {kind, server: drawIndex(), ms: drawInRange(SILENCE_MS)};
			}

			case 'odd_entry': {
				return {kind, entry: pick(oddEntries)};
			}

			case 'configure': {
				return {kind, versions: drawInRange(SERIES_VERSIONS), intervalMs: drawInRange(SERIES_INTERVAL_MS)};
			}

			case 'deadly': {
				return {kind, ms: DEADLY_MS};
			}

			case 'compact': {
				return {kind};
			}
		}
	};

	const faults: PlannedFault[] = [];
	for (let start = 0; start < durationMs; start += MIXED_PHASE_MS + PLANNED_PHASE_MS) {
		for (let at = start + drawInRange(MIXED_INTERVAL_MS); at < Math.min(durationMs, start + MIXED_PHASE_MS - FAULT_DURATION_MS.to); at += drawInRange(MIXED_INTERVAL_MS)) {
			faults.push({at, fault: drawFault(pick(mixedPhaseKinds))});
		}

		const planned = start + MIXED_PHASE_MS + QUIET_MS;
		if ((start / (MIXED_PHASE_MS + PLANNED_PHASE_MS)) % 2 === 1) {
			if (planned < durationMs) {
				faults.push({at: planned, fault: drawFault('deadly')});
			}

			continue;
		}

		for (let at = planned; at < Math.min(durationMs, start + MIXED_PHASE_MS + PLANNED_PHASE_MS); at += drawInRange(PLANNED_INTERVAL_MS)) {
			faults.push({at, fault: drawFault(pick(plannedPhaseKinds))});
		}
	}

	return faults;
}
