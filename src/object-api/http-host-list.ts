/** HTTP client of the platform's host list. The protocol is described in `host-list.ts`. */
import type {TrafficMeter} from '../util/traffic-meter.js';
import {describeError, JsonClient} from './json-client.js';
import {hostListSchema, type HostList} from './host-list.js';
import type {CallOptions} from './object-api.js';

/** Outcome of one fetch. `unavailable` implies nothing about the hosts. */
export type HostListOutcome =
	| {readonly kind: 'listed'; readonly list: HostList}
	| {readonly kind: 'unavailable'; readonly message: string};

export class HttpHostList {
	/** `caller` is the id of this daemon, sent as `x-caller`. */
	static create(options: {readonly baseUrl: string; readonly caller: string; readonly meter?: TrafficMeter}): HttpHostList {
		return new HttpHostList(JsonClient.create(options.baseUrl, options.caller, options.meter));
	}

	/** The last list, if it had an entity tag. */
	#cached: {readonly etag: string; readonly list: HostList} | undefined;

	private constructor(private readonly client: JsonClient) {}

	/** Fetches the list. A server that supports entity tags does not send an unchanged list again. Does not throw. */
	async fetchHosts(options: CallOptions): Promise<HostListOutcome> {
		try {
			const cached = this.#cached;
			const headers = cached ? {'if-none-match': cached.etag} : undefined;
			const answer = await this.client.call({method: 'GET', path: '/v1/hosts', headers}, options);
			if (answer.status === 304 && cached) {
				return {kind: 'listed', list: cached.list};
			}

			if (answer.status !== 200) {
				throw new Error(`status ${answer.status}`);
			}

			const list = hostListSchema.parse(answer.body);
			this.#cached = answer.etag === undefined ? undefined : {etag: answer.etag, list};
			return {kind: 'listed', list};
		} catch (err) {
			return {kind: 'unavailable', message: `GET ${this.client.origin}/v1/hosts: ${describeError(err)}`};
		}
	}

	async close(): Promise<void> {
		await this.client.close();
	}
}
