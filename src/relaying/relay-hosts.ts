/**
 * Chooses the host that relays a request for a host without a path to the backend servers.
 *
 * The choice is random in proportion to the cores of the hosts, so that many hosts that lose their path at once spread
 * their requests over all others. A host that could not be reached or broke off is left out for a short time; one that refused a
 * request, for whatever reason, may relay the next one.
 */
import type {Member} from '../fleet/fleet-topology.js';
import {ExpiringSet} from '../util/expiring-set.js';
import {chooseWeighted} from '../util/weighted-choice.js';

/** Time in ms for which a host that did not relay a request is left out. */
const SKIP_MS = 1000;

export class RelayHosts {
	static create(): RelayHosts {
		return new RelayHosts();
	}

	readonly #skipped = ExpiringSet.create();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Leaves a host out for a short time, since it could not be reached or broke off. */
	skip(address: string, now: number): void {
		this.#skipped.add(address, now + SKIP_MS, now);
	}

	/** Returns one of `hosts`, or undefined if none is left. `uniform` is a random number in [0, 1). */
	choose(hosts: readonly Member[], uniform: number, now: number): Member | undefined {
		return chooseWeighted(hosts.filter(({address}) => !this.#skipped.has(address, now)), ({cores}) => cores, uniform);
	}
}
