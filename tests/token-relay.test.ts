import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import fc from 'fast-check';
import {
	describe, expect, it, vi,
} from 'vitest';
import {EventStream} from '../src/daemon/event-stream.js';
import type {EngineEvent, EngineEvents, ResumeOutcome} from '../src/streams/engine-streams.js';
import {relayTokens} from '../src/streams/token-relay.js';
import {monotonicMs} from '../src/util/clock.js';

const id = 'd1.i1.1';
const textOf = (index: number): string => `t${index} `;
const token = (index: number, stream = id): EngineEvent => ({kind: 'token', event: {id: stream, index, text: stream === id ? textOf(index) : 'foreign '}});

const doneAfter = (tokens: number, stream = id): EngineEvent => ({
	kind: 'done', event: {
		id: stream, finishReason: 'length', promptTokens: 1, completionTokens: tokens, cachedTokens: 0,
	},
});

/** What goes wrong before the event of one index. */
type Disturbance = 'none' | 'repeat' | 'foreign_token' | 'foreign_done' | 'foreign_failed' | 'early_done' | 'skip' | 'silent' | 'closed';

/** Events of one connection from index `from`: the true ones, with one disturbance before each of them. */
function eventsFrom(from: number, tokens: number, disturbances: Iterator<Disturbance>): EngineEvents {
	let next = from;
	let skipped = false;
	const disturb = (kind: Disturbance): EngineEvent | undefined => {
		switch (kind) {
			case 'none': {
				return undefined;
			}

			case 'repeat': {
				return next > from ? token(next - 1) : undefined;
			}

			case 'foreign_token': {
				return token(next, 'd1.i1.2');
			}

			case 'foreign_done': {
				return doneAfter(next, 'd1.i1.2');
			}

			case 'foreign_failed': {
				return {kind: 'failed', event: {id: 'd1.i1.2', code: 'internal', message: ''}};
			}

			case 'early_done': {
				return next < tokens ? doneAfter(tokens) : undefined;
			}

			case 'skip': {
				next += next < tokens && !skipped ? 1 : 0;
				skipped = true;
				return undefined;
			}

			case 'silent': {
				return {kind: 'silent'};
			}

			case 'closed': {
				return {kind: 'closed', message: 'reset'};
			}
		}
	};

	return {
		async next() {
			const disturbed = disturb((disturbances.next() as IteratorResult<Disturbance, undefined>).value ?? 'none');
			if (disturbed) {
				return disturbed;
			}

			return next < tokens ? token(next++) : doneAfter(tokens);
		},
		close: () => undefined,
	};
}

const disturbance = fc.constantFrom<Disturbance>('none', 'none', 'none', 'none', 'none', 'repeat', 'foreign_token', 'foreign_done', 'foreign_failed', 'early_done', 'skip', 'silent', 'closed');

/** Relays a stream over connections with these disturbances and checks what was handed over. */
async function checkRelay(tokens: number, disturbances: readonly Disturbance[]): Promise<void> {
	const source = disturbances[Symbol.iterator]();
	let text = '';
	const outcome = await relayTokens({id, address: '', events: eventsFrom(0, tokens, source)}, {
		engine: {
			resume: async (_address, _id, from): Promise<ResumeOutcome> => ({
				kind: 'accepted', events: eventsFrom(from, tokens, source), boot: '', warm: true,
			}),
		},
		sink: {
			async write(part) {
				text += part;
			},
		},
		limits: {firstCheckMs: 1, giveUpMs: 60_000, betweenTokensMs: 1},
		signal: new AbortController().signal,
		clock: monotonicMs,
	});
	const expected = Array.from({length: outcome.tokens}, (_, index) => textOf(index)).join('');
	expect(text).toBe(expected);
	expect(['finished', 'lost']).toContain(outcome.kind);
	expect(outcome.kind === 'finished' ? outcome.tokens : tokens).toBe(tokens);
}

describe('token relay', () => {
	it('should hand over each token of its own stream once and in order, whatever a connection carries', async () => {
		// Cases run side by side, since faults are followed by pauses.
		const cases = fc.array(fc.tuple(fc.nat(20), fc.array(disturbance, {maxLength: 60})), {minLength: 20, maxLength: 20});
		await fc.assert(fc.asyncProperty(cases, async streams => {
			await Promise.all(streams.map(async ([tokens, disturbances]) => checkRelay(tokens, disturbances)));
		}), {numRuns: 5});
	});
});

describe('event stream', () => {
	it('should hold back the writer of a caller that does not read, and let go when it leaves', async () => {
		let response: ServerResponse | undefined;
		let sent = 0;
		let ended = false;
		const server = createServer((_req, res) => {
			response = res;
			const stream = EventStream.create(res);
			const write = async () => {
				while (!res.destroyed) {
					await stream.send('x'.repeat(1000));
					sent++;
				}

				ended = true;
			};

			void write();
		}).listen(0, '127.0.0.1');
		await once(server, 'listening');
		const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
		caller.pause();
		caller.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
		let before = -1;
		await vi.waitFor(() => {
			const isHeld = sent > 0 && sent === before;
			before = sent;
			expect(isHeld && response?.writableNeedDrain).toBe(true);
		}, {timeout: 10_000, interval: 200});
		expect(response!.writableLength).toBeLessThan(200_000);
		caller.destroy();
		await vi.waitFor(() => {
			expect(ended).toBe(true);
		});
		server.close();
	});
});
