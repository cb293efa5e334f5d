/** The daemons that may take over the lease of a pool, according to this daemon's directory. */
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

	/** Names of the other daemons to list as candidates in the lease, best first. */
	names(): readonly string[] {
		return chooseCandidates(this.options.pool, this.#otherDaemons());
	}

	/** Rank of this daemon among the daemons of the failure domain, excluding the current owner; 0 is first. */
	rank(owner: string | undefined): number {
		const {pool, directory: {self}} = this.options;
		const ids = this.#otherDaemons().map(member => member.id).filter(id => id !== owner);
		return rankNodes(pool, [...ids, self.id]).indexOf(self.id);
	}

	#otherDaemons(): readonly Member[] {
		const {directory, failureDomain} = this.options;
		return directory.members().filter(member => member.failureDomain === failureDomain && !member.draining && member.id !== directory.self.id);
	}
}
