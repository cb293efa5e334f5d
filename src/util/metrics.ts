/** StatsD metrics. */
import {StatsD} from 'hot-shots';

export type MetricTags = Readonly<Record<string, string>>;

/** Sends counters, gauges and timings. Methods do not throw, and lost packets are not reported. */
export type Metrics = {
	increment(name: string, tags?: MetricTags): void;
	gauge(name: string, value: number, tags?: MetricTags): void;
	/** `value` in ms. */
	timing(name: string, value: number, tags?: MetricTags): void;
	/** Flushes the buffer and closes the socket. */
	close(): Promise<void>;
};

/** Creates a client for a StatsD server, or one that sends nothing if `server` is undefined. */
export function createMetrics(server: {readonly host: string; readonly port: number} | undefined, globalTags: MetricTags = {}): Metrics {
	const client = new StatsD({
		host: server?.host ?? '127.0.0.1',
		port: server?.port ?? 8125,
		mock: server === undefined,
		prefix: 'fireflyport.',
		globalTags: {...globalTags},
		// Metrics are best effort: an unavailable StatsD server must not affect requests.
		errorHandler: () => undefined,
	});
	return {
		increment(name, tags = {}) {
			client.increment(name, {...tags});
		},
		gauge(name, value, tags = {}) {
			client.gauge(name, value, {...tags});
		},
		timing(name, value, tags = {}) {
			client.timing(name, value, {...tags});
		},
		close: async () => new Promise(resolve => {
			client.close(() => {
				resolve();
			});
		}),
	};
}
