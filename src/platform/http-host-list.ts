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

	private constructor(private readonly client: JsonClient) {}

	/** Fetches the list once. Never throws. */
	async fetchHosts(options: CallOptions): Promise<HostListOutcome> {
		try {
			const answer = await this.client.call({method: 'GET', path: '/v1/hosts'}, options);
			if (answer.status !== 200) {
				throw new Error(`status ${answer.status}`);
			}

			return {kind: 'listed', list: hostListSchema.parse(answer.body)};
		} catch (err) {
			return {kind: 'unavailable', message: `GET ${this.client.origin}/v1/hosts: ${describeError(err)}`};
		}
	}

	async close(): Promise<void> {
		await this.client.close();
	}
}
