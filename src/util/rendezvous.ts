/**
 * Rendezvous (highest random weight) hashing: each key ranks all nodes, so the loss of a node moves only the keys
 * assigned to it.
 */
import {createHash} from 'node:crypto';

/** Weight of `node` for `key`, as a hex digest. */
const weightOf = (key: string, node: string): string => createHash('sha256').update(key).update('\0').update(node).digest('hex');

/** Returns `nodes` without duplicates, highest weight for `key` first. The order of `nodes` does not matter. */
export function rankNodes(key: string, nodes: Iterable<string>): readonly string[] {
	const weighted = [...new Set(nodes)].map(node => ({node, weight: weightOf(key, node)}));
	weighted.sort((a, b) => (a.weight < b.weight ? 1 : -1));
	return weighted.map(({node}) => node);
}

/** Returns the node with the highest weight for `key`, or undefined if `nodes` is empty. */
export function chooseNode(key: string, nodes: Iterable<string>): string | undefined {
	return rankNodes(key, nodes)[0];
}
