/** Calls to the object API during a part of a run, from the counts of its stand-in. */
import type {Deployment} from '../deployment.js';

const kinds = ['reads', 'writes', 'lists', 'watches', 'conflicts'] as const;

export type Calls = Readonly<Record<typeof kinds[number], number>> & {readonly elapsedMs: number};

export async function callsDuring(deployment: Deployment, run: () => Promise<void>): Promise<Calls> {
	const startedAt = performance.now();
	const before = await deployment.counts(deployment.objectApi);
	await run();
	const after = await deployment.counts(deployment.objectApi);
	const counted = Object.fromEntries(kinds.map(kind => [kind, Number(after[kind]) - Number(before[kind])])) as Record<typeof kinds[number], number>;
	return {...counted, elapsedMs: performance.now() - startedAt};
}
