/** Times of crash subjects, bounded in number. */

/** Bound on the number of subjects in each table: some minutes of requests with parts that no other request has. */
const MAX_SUBJECTS = 20_000;

/** Stores the latest time of a subject, and drops the one that was updated longest ago when there are too many. */
export function setNewest(times: Map<string, number>, subject: string, at: number): void {
	const known = times.get(subject) ?? -Infinity;
	times.delete(subject);
	times.set(subject, Math.max(at, known));
	if (times.size > MAX_SUBJECTS) {
		times.delete(times.keys().next().value!);
	}
}
