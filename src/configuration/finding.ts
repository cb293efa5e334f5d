/** Describes and formats validation findings in a configuration. */

/** An invalid field: its `path`, as in `services[0].cold.requests`, its `value`, and the `rule` that it violates. */
export type Finding = {
	readonly path: string;
	readonly value: unknown;
	readonly rule: string;
};

/** Formats a path of keys and indexes. The path of the root is the empty string. */
export function formatPath(keys: readonly PropertyKey[]): string {
	let text = '';
	for (const key of keys) {
		text += typeof key === 'number' ? `[${key}]` : `${text === '' ? '' : '.'}${String(key)}`;
	}

	return text;
}

/** Returns the value at a path of `input`, or undefined when the path does not exist. */
export function valueAt(input: unknown, keys: readonly PropertyKey[]): unknown {
	let value = input;
	for (const key of keys) {
		value = typeof value === 'object' && value !== null ? (value as Record<PropertyKey, unknown>)[key] : undefined;
	}

	return value;
}

/** Formats a finding as one line with path, rule and value. */
export function formatFinding({path, value, rule}: Finding): string {
	return `${path === '' ? '(whole configuration)' : path}: ${rule} (value: ${JSON.stringify(value) ?? 'absent'})`;
}
