/** Daemons that may take over the lease of a pool, as this daemon sees them. */
import type {Member} from '../membership/directory.js';
import {rankNodes} from '../util/rendezvous.js';
import type {LeaseDirectory} from './lease-peers.js';
import {chooseCandidates} from './lease-takeover.js';

type LeaseCandidatesOptions = {
	readonly pool: string;
	readonly failureDomain: string;
	readonly directory: Pick<LeaseDirectory, 'self' | 'members'>;
};

export class LeaseCandidates {
	constructor(private readonly options: LeaseCandidatesOptions) {}

	/** Names of the other daemons to name in the lease, best first. */
	names(): readonly string[] {
		return chooseCandidates(this.options.pool, this.#others());
	}

	/** Position of this daemon among the daemons of the failure domain, without the present owner; 0 is the first. */
	rank(owner: string | undefined): number {
		const {pool, directory: {self}} = this.options;
		const ids = this.#others().map(member => member.id).filter(id => id !== owner);
		return rankNodes(pool, [...ids, self.id]).indexOf(self.id);
	}

	#others(): readonly Member[] {
		const {directory, failureDomain} = this.options;
		return directory.members().filter(member => member.failureDomain === failureDomain && !member.draining && member.id !== directory.self.id);
	}
}
