/** The interface through which membership reads the platform's host list. */
import type {HostList} from '../object-api/host-list.js';
import type {CallOptions} from '../object-api/object-api.js';

/** Outcome of one fetch. `unavailable` implies nothing about the hosts. */
export type HostListOutcome =
	| {readonly kind: 'listed'; readonly list: HostList}
	| {readonly kind: 'unavailable'; readonly message: string};

/** Source of the host list. Methods do not throw. */
export type HostListSource = {
	fetchHosts(options: CallOptions): Promise<HostListOutcome>;
};
