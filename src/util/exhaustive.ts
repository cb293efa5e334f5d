/** Fails the type check when a switch over a discriminated union misses a case. */
export function assertNever(value: never): never {
	throw new TypeError(`unhandled case: ${JSON.stringify(value)}`);
}
