/** Lists and formats the differences between two configurations field by field, for human readers. */
import {isDeepStrictEqual} from 'node:util';

/** A field that differs. `from` or `to` is absent when the field exists on one side only. */
export type Difference = {
	/** Path with names instead of indexes, as in `workspaces.mills.limits.requestsPerSecond`. */
	readonly path: string;
	readonly from?: unknown;
	readonly to?: unknown;
};

type Fields = Readonly<Record<string, unknown>>;

/** Lists all differences between two configurations given as parsed JSON. They do not have to be valid. */
export function listDifferences(from: unknown, to: unknown, path = ''): readonly Difference[] {
	if (isDeepStrictEqual(from, to)) {
		return [];
	}

	const before = fieldsOf(from);
	const after = fieldsOf(to);
	const differences = before && after ? compareFields(before, after, path) : [];
	// Arrays that differ only in the order of their entries have no differences by name; report the whole array.
	return differences.length > 0 ? differences : [{path, from, to}];
}

function compareFields(before: Fields, after: Fields, path: string): readonly Difference[] {
	const names = new Set([...Object.keys(before), ...Object.keys(after)]);
	return [...names].flatMap(name => listDifferences(before[name], after[name], path === '' ? name : `${path}.${name}`));
}

/** Returns the fields of an object, or the entries of an array of named objects by name; undefined for other values. */
function fieldsOf(value: unknown): Fields | undefined {
	if (!Array.isArray(value)) {
		return isObject(value) ? value : undefined;
	}

	const names = value.map(item => entryNameOf(item));
	const isNamed = value.length > 0 && names.every(name => name !== undefined) && new Set(names).size === names.length;
	return isNamed ? Object.fromEntries(names.map((name, index) => [name, value[index] as unknown])) : undefined;
}

const isObject = (value: unknown): value is Fields => typeof value === 'object' && value !== null && !Array.isArray(value);

function entryNameOf(item: unknown): string | undefined {
	if (!isObject(item)) {
		return undefined;
	}

	if (typeof item.name === 'string') {
		return item.name;
	}

	return typeof item.service === 'string' && typeof item.lengthClass === 'string' ? `${item.service}/${item.lengthClass}` : undefined;
}

/** Formats a difference as one line: `path: old -> new`. */
export function formatDifference({path, from, to}: Difference): string {
	return `${path === '' ? '(whole configuration)' : path}: ${formatValue(from)} -> ${formatValue(to)}`;
}

const formatValue = (value: unknown): string => JSON.stringify(value) ?? 'absent';
