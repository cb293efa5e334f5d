/** Access to the platform's host list, as membership needs it. */
import type {HostList} from '../object-api/host-list.js';
import type {CallOptions} from '../object-api/object-api.js';

/** Outcome of one fetch. `unavailable` says nothing about the hosts. */
export type HostListOutcome =
	| {readonly kind: 'listed'; readonly list: HostList}
	| {readonly kind: 'unavailable'; readonly message: string};

/** Fetches the host list; never throws. */
export type HostListSource = {
	fetchHosts(options: CallOptions): Promise<HostListOutcome>;
};
