/** Times of prompt parts, bounded in number. */

/** Bound on the number of parts in each table: some minutes of requests with parts that no other request has. */
const MAX_PARTS = 20_000;

/** Stores the latest time of a part, and drops the part that was updated longest ago when there are too many. */
export function setNewest(times: Map<string, number>, part: string, at: number): void {
	const known = times.get(part) ?? -Infinity;
	times.delete(part);
	times.set(part, Math.max(at, known));
	if (times.size > MAX_PARTS) {
		times.delete(times.keys().next().value!);
	}
}
