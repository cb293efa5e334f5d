import {readFileSync} from 'node:fs';
import process from 'node:process';
import fc from 'fast-check';
import {it} from 'vitest';
import {
	playTroubles, sequenceArbitrary, type RequestTrouble, type TroubleSequence,
} from './fixtures/trouble-run.js';

const RUNS_PER_SEED = 3;
/** Time in which shorter sequences that fail are looked for; none are unless FIREFLYPORT_SHRINK_S is set. */
const {FIREFLYPORT_TEST_SEED, FIREFLYPORT_REPLAY, FIREFLYPORT_SHRINK_S} = process.env;
const SHRINK_MS = Number(FIREFLYPORT_SHRINK_S ?? 0) * 1000;
const TIMEOUT_MS = 60_000;
const seeds = FIREFLYPORT_TEST_SEED === undefined ? [1, 2, 3, 4, 5, 6, 7, 8] : [Number(FIREFLYPORT_TEST_SEED)];

async function check(sequence: TroubleSequence): Promise<void> {
	const {violations} = await playTroubles(sequence);
	if (violations.length > 0) {
		throw new Error(`${violations.join('\n')}\nFIREFLYPORT_REPLAY of a file with:\n${JSON.stringify(sequence)}`);
	}
}

const late = (more: Partial<RequestTrouble>): RequestTrouble => ({
	kind: 'request', route: 'once', body: 'length', connection: 'new', client: 'reads', deadlineMs: 2500, workMs: 0, field: '', ...more,
});

if (FIREFLYPORT_REPLAY === undefined) {
	// Guards against a request that is read behind a response that closes its connection, and is passed on or taken for an earlier one.
	it.each([
		['that its client has received', late({workMs: 600}), 640],
		['that its client has not read yet', late({client: 'reads slowly', workMs: 300}), 370],
	])('should agree with RFC 9112 on a request behind the announcement of a close %s', {timeout: TIMEOUT_MS}, async (_, first, afterMs) => {
		await check({steps: [], late: [{afterMs: 100, trouble: first}, {afterMs, trouble: late({connection: 'pipelined'})}]});
	});

	it.concurrent.each(seeds)('should give each request that was read exactly one final answer under random troubles (seed %d)', {timeout: TIMEOUT_MS + SHRINK_MS}, async seed => {
		await fc.assert(fc.asyncProperty(fc.noBias(sequenceArbitrary), check), {
			seed, numRuns: RUNS_PER_SEED, ...(SHRINK_MS > 0 ? {plugins: [fc.interruptAfterTimeLimit(SHRINK_MS)]} : {endOnFailure: true}),
		});
	});
} else {
	it('should give each request that was read exactly one final answer in the sequence of a file', {timeout: TIMEOUT_MS}, async () => {
		await check(JSON.parse(readFileSync(FIREFLYPORT_REPLAY, 'utf8')) as TroubleSequence);
	});
}
