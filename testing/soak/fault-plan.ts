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
	/** Planned operations, during which no request may be interrupted. */
	| {readonly kind: 'stop'; readonly daemon: number}
	| {readonly kind: 'leave'; readonly server: number}
	| {readonly kind: 'configure'};

export type PathMode = 'delay' | 'one_way' | 'silent' | 'reset';
export type ServerFault = 'break' | 'reset' | 'mute' | 'error' | 'foreign' | 'unsigned' | 'reject';

export type PlannedFault = {readonly at: number; readonly fault: Fault};

/** Phases in which faults and planned operations overlap alternate with phases of planned operations only. */
export const MIXED_PHASE_MS = 6000;
/** Starts with {@link QUIET_MS} without operations, so that time bounds that count from the last fault have passed. */
export const PLANNED_PHASE_MS = 9000;
const QUIET_MS = 3500;
/** Interval between faults in ms, short enough for several to overlap. */
const MIXED_INTERVAL_MS = {from: 150, to: 700};
const PLANNED_INTERVAL_MS = {from: 300, to: 1500};
const FAULT_DURATION_MS = {from: 200, to: 2500};

const pathModes = ['delay', 'one_way', 'silent', 'reset'] as const;
const serverFaults = ['break', 'reset', 'mute', 'error', 'foreign', 'unsigned', 'reject'] as const;
const storeModes = ['busy', 'silent', 'reset'] as const;
const mixedPhaseKinds = ['kill', 'pause', 'store', 'compact', 'restore', 'store_path', 'server_path', 'server_fault', 'server_fault', 'crash', 'stop', 'configure', 'leave'] as const;
const plannedPhaseKinds = ['stop', 'leave', 'configure'] as const;

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

			case 'compact':
			case 'configure': {
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
		for (let at = planned; at < Math.min(durationMs, start + MIXED_PHASE_MS + PLANNED_PHASE_MS); at += drawInRange(PLANNED_INTERVAL_MS)) {
			faults.push({at, fault: drawFault(pick(plannedPhaseKinds))});
		}
	}

	return faults;
}
