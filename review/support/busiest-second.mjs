/**
 * The largest number of requests that were sent and arrived inside one second, among those that arrived from `from` to `to`.
 * `sentAt` holds the time at which the client sent each attempt.
 */
export function busiestSecond(arrivals, sentAt, [from, to]) {
	const times = arrivals.map(({attempt, at}) => ({sent: sentAt.get(attempt), at})).filter(({at}) => at >= from && at < to);
	return Math.max(0, ...times.map(first => times.filter(({sent, at}) => sent >= first.sent && at <= first.sent + 1000).length));
}
