/** Client of the platform's host list, by the protocol in `host-list.ts`. */
import type {TrafficMeter} from '../util/traffic-meter.js';
import {describeError, JsonClient} from './json-client.js';
import {hostListSchema, type HostList} from './host-list.js';
import type {CallOptions} from './object-api.js';

/** Outcome of one fetch. `unavailable` says nothing about the hosts. */
export type HostListOutcome =
	| {readonly kind: 'listed'; readonly list: HostList}
	| {readonly kind: 'unavailable'; readonly message: string};

export class HttpHostList {
	/** `caller` is the id of this daemon, sent as `x-caller`. */
	static create(options: {readonly baseUrl: string; readonly caller: string; readonly meter?: TrafficMeter}): HttpHostList {
		return new HttpHostList(JsonClient.create(options.baseUrl, options.caller, options.meter));
	}

	/** The last list that came with an entity tag. */
	#known: {readonly etag: string; readonly list: HostList} | undefined;

	private constructor(private readonly client: JsonClient) {}

	/** Fetches the list once. An unchanged list is not sent again where the server supports entity tags. Never throws. */
	async fetchHosts(options: CallOptions): Promise<HostListOutcome> {
		try {
			const known = this.#known;
			const headers = known ? {'if-none-match': known.etag} : undefined;
			const answer = await this.client.call({method: 'GET', path: '/v1/hosts', headers}, options);
			if (answer.status === 304 && known) {
				return {kind: 'listed', list: known.list};
			}

			if (answer.status !== 200) {
				throw new Error(`status ${answer.status}`);
			}

			const list = hostListSchema.parse(answer.body);
			this.#known = answer.etag === undefined ? undefined : {etag: answer.etag, list};
			return {kind: 'listed', list};
		} catch (err) {
			return {kind: 'unavailable', message: `GET ${this.client.origin}/v1/hosts: ${describeError(err)}`};
		}
	}

	async close(): Promise<void> {
		await this.client.close();
	}
}
