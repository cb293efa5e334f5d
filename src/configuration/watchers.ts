/** Selects the daemons of a failure domain that watch the object API on behalf of the others. */
import type {Member} from '../membership/directory.js';
import {rankNodes} from '../util/rendezvous.js';

/** Number of watchers per failure domain. With two, one can fail without delaying the others. */
export const WATCHERS_PER_DOMAIN = 2;

/**
 * Returns the watchers of the failure domain of `self` among `members`, highest rank first. Draining daemons are about
 * to exit, so they are selected only when there are no others.
 */
export function selectWatchers(self: Member, members: readonly Member[]): readonly Member[] {
	const local = members.filter(member => member.region === self.region && member.failureDomain === self.failureDomain);
	const notDraining = local.filter(member => !member.draining);
	const candidates = new Map((notDraining.length > 0 ? notDraining : local).map(member => [member.id, member]));
	const ranked = rankNodes(`configuration/${self.region}/${self.failureDomain}`, candidates.keys());
	return ranked.slice(0, WATCHERS_PER_DOMAIN).map(id => candidates.get(id)!);
}
