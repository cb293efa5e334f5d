/** Conditional write of a configuration, with the outcome resolved where an answer was lost. */
import {isDeepStrictEqual} from 'node:util';
import type {ObjectApi, ReadOutcome, WriteCondition} from '../object-api/object-api.js';
import type {Backoff} from '../util/backoff.js';
import {pause} from '../util/pause.js';
import {listDifferences, type Difference} from './configuration-differences.js';
import {CONFIGURATION_KEY, type Configuration} from './schema.js';

/**
 * - `applied`: in force under `version`; `isResolved` when an answer was lost and the object was compared
 * - `conflict`: not in force; another `version` is, which differs by `differences` (from it to the refused one).
 *   With `isReplaced`, a write with a lost answer may have been in force for a short time before
 * - `not_applied`: nothing was changed
 * - `unknown`: the object API did not tell the outcome
 */
export type ApplyOutcome =
	| {readonly kind: 'applied'; readonly version: number; readonly isResolved: boolean}
	| {readonly kind: 'conflict'; readonly version: number; readonly differences: readonly Difference[]; readonly isReplaced: boolean}
	| {readonly kind: 'not_applied'; readonly message: string}
	| {readonly kind: 'unknown'; readonly message: string};

export type ApplyOptions = {
	readonly timeoutMs: number;
	readonly backoff: Backoff;
	readonly signal: AbortSignal;
};

/** Writes and reads tried while an outcome is unknown. */
const MAX_ATTEMPTS = 6;

/** The condition of a write based on `version`; 0 stands for an absent object. */
export const conditionOn = (version: number): WriteCondition => version === 0 ? {kind: 'absent'} : {kind: 'version', version};

/**
 * Writes `configuration` on the condition that `basedOn` is still in force. After a lost answer it writes again on the
 * same condition: that write takes effect, or its conflict shows that another one did, and a delayed first write fails.
 */
export async function applyConfiguration(api: ObjectApi, configuration: Configuration, basedOn: number, options: ApplyOptions): Promise<ApplyOutcome> {
	let lost: string | undefined;
	for (let attempt = 0; attempt < MAX_ATTEMPTS && !options.signal.aborted; attempt++) {
		const outcome = await api.write(CONFIGURATION_KEY, configuration, conditionOn(basedOn), options);
		if (outcome.kind === 'written') {
			return {kind: 'applied', version: outcome.version, isResolved: lost !== undefined};
		}

		if (outcome.kind === 'conflict') {
			return resolveConflict(api, configuration, {version: outcome.version, isLost: lost !== undefined}, options);
		}

		if (outcome.kind === 'rejected' && lost === undefined) {
			return {kind: 'not_applied', message: outcome.message};
		}

		lost ??= outcome.message;
		await pause(options.backoff.nextMs(), options.signal);
	}

	return {kind: 'unknown', message: lost ?? 'cancelled'};
}

type Conflict = {readonly version: number; readonly isLost: boolean};

async function resolveConflict(api: ObjectApi, configuration: Configuration, conflict: Conflict, options: ApplyOptions): Promise<ApplyOutcome> {
	const {isLost} = conflict;
	const read = await readPatiently(api, options);
	if (read.kind === 'unavailable') {
		return isLost
			? {kind: 'unknown', message: read.message}
			: {
				kind: 'conflict', version: conflict.version, differences: [], isReplaced: false,
			};
	}

	const {version, value} = read.kind === 'found' ? read.object : {version: 0, value: undefined};
	return isLost && isDeepStrictEqual(value, configuration)
		? {kind: 'applied', version, isResolved: true}
		: {
			kind: 'conflict', version, differences: listDifferences(value, configuration), isReplaced: isLost,
		};
}

async function readPatiently(api: ObjectApi, options: ApplyOptions): Promise<ReadOutcome> {
	let outcome = await api.read(CONFIGURATION_KEY, options);
	for (let attempt = 1; attempt < MAX_ATTEMPTS && outcome.kind === 'unavailable' && !options.signal.aborted; attempt++) {
		await pause(options.backoff.nextMs(), options.signal);
		outcome = await api.read(CONFIGURATION_KEY, options);
	}

	return outcome;
}
