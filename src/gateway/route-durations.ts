/** Durations of the last requests on each route. */

/** Number of requests that count: more would let a slow moment count for long on routes with few requests. */
const MAX_SAMPLES = 20;

export class RouteDurations {
	static create(): RouteDurations {
		return new RouteDurations();
	}

	readonly #durations = new Map<string, number[]>();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	record(route: string, ms: number): void {
		const durations = this.#durations.get(route) ?? [];
		durations.push(ms);
		if (durations.length > MAX_SAMPLES) {
			durations.shift();
		}

		this.#durations.set(route, durations);
	}

	/** Longest of the last requests in ms; undefined before the first one. */
	longestMs(route: string): number | undefined {
		const durations = this.#durations.get(route);
		return durations && Math.max(...durations);
	}

	/** Forgets routes that a configuration no longer has. */
	keepOnly(routes: ReadonlySet<string>): void {
		for (const route of this.#durations.keys()) {
			if (!routes.has(route)) {
				this.#durations.delete(route);
			}
		}
	}
}
