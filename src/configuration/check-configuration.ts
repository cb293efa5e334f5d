/** Validates a whole configuration: first against the schema, then the references between its parts. */
import {Buffer} from 'node:buffer';
import type {z} from 'zod';
import {checkReferences} from './check-references.js';
import {formatPath, valueAt, type Finding} from './finding.js';
import {configurationSchema, type Configuration} from './schema.js';

/** The object API stores values up to 1 MB. */
export const MAX_CONFIGURATION_BYTES = 1_000_000;

export type CheckOutcome =
	| {readonly kind: 'accepted'; readonly configuration: Configuration}
	| {readonly kind: 'refused'; readonly findings: readonly Finding[]};

export type CheckOptions = {
	/**
	 * Accepts services without a failure domain in state `in`. Daemons set this because an operator may have forced the
	 * last failure domain of a service out.
	 */
	readonly allowUnserved: boolean;
};

/**
 * Validates parsed JSON. A refusal lists all schema findings or, if there are none, all findings on size and references.
 */
export function checkConfiguration(input: unknown, options: CheckOptions): CheckOutcome {
	const parsed = configurationSchema.safeParse(input);
	const findings = parsed.success
		? [...checkSize(input), ...checkReferences(parsed.data, options)]
		: parsed.error.issues.flatMap(issue => schemaFindings(issue, input));
	return parsed.success && findings.length === 0
		? {kind: 'accepted', configuration: parsed.data}
		: {kind: 'refused', findings};
}

function checkSize(input: unknown): readonly Finding[] {
	const bytes = Buffer.byteLength(JSON.stringify(input));
	const rule = `at most ${MAX_CONFIGURATION_BYTES} bytes of JSON`;
	return bytes > MAX_CONFIGURATION_BYTES ? [{path: '', value: bytes, rule}] : [];
}

function schemaFindings(issue: z.core.$ZodIssue, input: unknown): readonly Finding[] {
	if (issue.code !== 'unrecognized_keys') {
		return [{path: formatPath(issue.path), value: valueAt(input, issue.path), rule: issue.message}];
	}

	return issue.keys.map(key => {
		const path = [...issue.path, key];
		return {path: formatPath(path), value: valueAt(input, path), rule: 'not a field of the configuration'};
	});
}
