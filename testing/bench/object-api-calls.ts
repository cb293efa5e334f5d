/** Object API calls during a part of a run, from the counters of the object API stand-in. */
import type {Deployment} from '../deployment.js';

const callKinds = ['reads', 'writes', 'lists', 'watches', 'conflicts'] as const;

export type ObjectApiCalls = Readonly<Record<typeof callKinds[number], number>> & {readonly elapsedMs: number};

export async function countCallsDuring(deployment: Deployment, run: () => Promise<void>): Promise<ObjectApiCalls> {
	const startedAt = performance.now();
	const before = await deployment.readCounts(deployment.objectApi);
	await run();
	const after = await deployment.readCounts(deployment.objectApi);
	const differences = Object.fromEntries(callKinds.map(kind => [kind, Number(after[kind]) - Number(before[kind])])) as Record<typeof callKinds[number], number>;
	return {...differences, elapsedMs: performance.now() - startedAt};
}
