/** Which daemons of a failure domain watch the object API for the others. */
import type {Member} from '../membership/directory.js';
import {rankNodes} from '../util/rendezvous.js';

/** Watchers in each failure domain: two, so that one may fail without delay for the others. */
export const WATCHERS = 2;

/**
 * Returns the watchers of the failure domain of `self` among `members`, highest rank first. A draining daemon watches
 * only where no other is left, since it is about to end.
 */
export function chooseWatchers(self: Member, members: readonly Member[]): readonly Member[] {
	const local = members.filter(member => member.region === self.region && member.failureDomain === self.failureDomain);
	const staying = local.filter(member => !member.draining);
	const candidates = new Map((staying.length > 0 ? staying : local).map(member => [member.id, member]));
	const ranked = rankNodes(`configuration/${self.region}/${self.failureDomain}`, candidates.keys());
	return ranked.slice(0, WATCHERS).map(id => candidates.get(id)!);
}
