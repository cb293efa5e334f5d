/** A fault found in a configuration. */

/** `path` names the field, as in `services[0].cold.requests`; `value` is what it holds; `rule` is what it breaks. */
export type Finding = {
	readonly path: string;
	readonly value: unknown;
	readonly rule: string;
};

/** Formats a path of keys and indexes. The root is the empty text. */
export function formatPath(keys: readonly PropertyKey[]): string {
	let text = '';
	for (const key of keys) {
		text += typeof key === 'number' ? `[${key}]` : `${text === '' ? '' : '.'}${String(key)}`;
	}

	return text;
}

/** Returns what `input` holds at a path, or undefined. */
export function valueAt(input: unknown, keys: readonly PropertyKey[]): unknown {
	let value = input;
	for (const key of keys) {
		value = typeof value === 'object' && value !== null ? (value as Record<PropertyKey, unknown>)[key] : undefined;
	}

	return value;
}

/** One line for people: path, rule and value. */
export function formatFinding({path, value, rule}: Finding): string {
	return `${path === '' ? '(whole configuration)' : path}: ${rule} (value: ${JSON.stringify(value) ?? 'absent'})`;
}
