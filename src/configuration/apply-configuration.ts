/** Writes a configuration conditionally and resolves the outcome when a response is lost. */
import {isDeepStrictEqual} from 'node:util';
import type {ObjectApi, ReadOutcome, WriteCondition} from '../object-api/object-api.js';
import type {Backoff} from '../util/backoff.js';
import {pause} from '../util/pause.js';
import {listDifferences, type Difference} from './configuration-differences.js';
import {CONFIGURATION_KEY, type Configuration} from './schema.js';

/**
 * - `applied`: active as `version`; `isResolved` is true when a response was lost and the outcome was determined by
 *   retrying or by comparing the stored object
 * - `conflict`: not active; the stored configuration is `version`, and `differences` lead from it to the rejected one.
 *   With `isReplaced`, a write whose response was lost may have been active for a short time before
 * - `not_applied`: nothing was changed
 * - `unknown`: the outcome could not be determined from the object API
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

/** Maximum attempts for the write, and for the read that resolves a conflict. */
const MAX_ATTEMPTS = 6;

/** Returns the condition for a write based on `version`; version 0 means that the object does not exist. */
export const createWriteCondition = (version: number): WriteCondition => version === 0 ? {kind: 'absent'} : {kind: 'version', version};

/**
 * Writes `configuration` on the condition that `basedOn` is still the active version. After a lost response, it repeats
 * the write with the same condition: either the repeat takes effect, and a delayed first write then fails its condition,
 * or a conflict shows that another write took effect.
 */
export async function applyConfiguration(api: ObjectApi, configuration: Configuration, basedOn: number, options: ApplyOptions): Promise<ApplyOutcome> {
	let lostResponse: string | undefined;
	for (let attempt = 0; attempt < MAX_ATTEMPTS && !options.signal.aborted; attempt++) {
		const outcome = await api.write(CONFIGURATION_KEY, configuration, createWriteCondition(basedOn), options);
		if (outcome.kind === 'written') {
			return {kind: 'applied', version: outcome.version, isResolved: lostResponse !== undefined};
		}

		if (outcome.kind === 'conflict') {
			return resolveConflict(api, configuration, {version: outcome.version, wasResponseLost: lostResponse !== undefined}, options);
		}

		if (outcome.kind === 'rejected' && lostResponse === undefined) {
			return {kind: 'not_applied', message: outcome.message};
		}

		lostResponse ??= outcome.message;
		await pause(options.backoff.nextMs(), options.signal);
	}

	return {kind: 'unknown', message: lostResponse ?? 'cancelled'};
}

type Conflict = {readonly version: number; readonly wasResponseLost: boolean};

async function resolveConflict(api: ObjectApi, configuration: Configuration, conflict: Conflict, options: ApplyOptions): Promise<ApplyOutcome> {
	const {wasResponseLost} = conflict;
	const read = await readWithRetries(api, options);
	if (read.kind === 'unavailable') {
		return wasResponseLost
			? {kind: 'unknown', message: read.message}
			: {
				kind: 'conflict', version: conflict.version, differences: [], isReplaced: false,
			};
	}

	const {version, value} = read.kind === 'found' ? read.object : {version: 0, value: undefined};
	return wasResponseLost && isDeepStrictEqual(value, configuration)
		? {kind: 'applied', version, isResolved: true}
		: {
			kind: 'conflict', version, differences: listDifferences(value, configuration), isReplaced: wasResponseLost,
		};
}

async function readWithRetries(api: ObjectApi, options: ApplyOptions): Promise<ReadOutcome> {
	let outcome = await api.read(CONFIGURATION_KEY, options);
	for (let attempt = 1; attempt < MAX_ATTEMPTS && outcome.kind === 'unavailable' && !options.signal.aborted; attempt++) {
		await pause(options.backoff.nextMs(), options.signal);
		outcome = await api.read(CONFIGURATION_KEY, options);
	}

	return outcome;
}
