/** Rendezvous (highest random weight) hashing: each key ranks all nodes, and a lost node moves only its own keys. */
import {createHash} from 'node:crypto';

/** Hex digest by which `node` is ranked for `key`. */
const weightOf = (key: string, node: string): string => createHash('sha256').update(key).update('\0').update(node).digest('hex');

/** Returns `nodes` without duplicates, highest weight for `key` first. Independent of the order of `nodes`. */
export function rankNodes(key: string, nodes: Iterable<string>): readonly string[] {
	const weighted = [...new Set(nodes)].map(node => ({node, weight: weightOf(key, node)}));
	weighted.sort((a, b) => (a.weight < b.weight ? 1 : -1));
	return weighted.map(({node}) => node);
}

/** Returns the node with the highest weight for `key`, or undefined without nodes. */
export function chooseNode(key: string, nodes: Iterable<string>): string | undefined {
	return rankNodes(key, nodes)[0];
}
