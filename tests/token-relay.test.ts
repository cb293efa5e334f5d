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
const tokenText = (index: number): string => `t${index} `;
const tokenEvent = (index: number, stream = id): EngineEvent => ({kind: 'token', event: {id: stream, index, text: stream === id ? tokenText(index) : 'foreign '}});

const doneEvent = (tokens: number, stream = id): EngineEvent => ({
	kind: 'done', event: {
		id: stream, finishReason: 'length', promptTokens: 1, completionTokens: tokens, cachedTokens: 0,
	},
});

/** Fault that is injected before the event of one index. */
type InjectedFault = 'none' | 'repeat' | 'foreign_token' | 'foreign_done' | 'foreign_failed' | 'early_done' | 'skip' | 'silent' | 'closed';

/** Events of one connection from index `from`, with one fault injected before each of them. */
function eventsFrom(from: number, tokens: number, faults: Iterator<InjectedFault>): EngineEvents {
	let nextIndex = from;
	let hasSkipped = false;
	const injectFault = (kind: InjectedFault): EngineEvent | undefined => {
		switch (kind) {
			case 'none': {
				return undefined;
			}

			case 'repeat': {
				return nextIndex > from ? tokenEvent(nextIndex - 1) : undefined;
			}

			case 'foreign_token': {
				return tokenEvent(nextIndex, 'd1.i1.2');
			}

			case 'foreign_done': {
				return doneEvent(nextIndex, 'd1.i1.2');
			}

			case 'foreign_failed': {
				return {kind: 'failed', event: {id: 'd1.i1.2', code: 'internal', message: ''}};
			}

			case 'early_done': {
				return nextIndex < tokens ? doneEvent(tokens) : undefined;
			}

			case 'skip': {
				nextIndex += nextIndex < tokens && !hasSkipped ? 1 : 0;
				hasSkipped = true;
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
			const injectedEvent = injectFault((faults.next() as IteratorResult<InjectedFault, undefined>).value ?? 'none');
			if (injectedEvent) {
				return injectedEvent;
			}

			return nextIndex < tokens ? tokenEvent(nextIndex++) : doneEvent(tokens);
		},
		close: () => undefined,
	};
}

const injectedFault = fc.constantFrom<InjectedFault>('none', 'none', 'none', 'none', 'none', 'repeat', 'foreign_token', 'foreign_done', 'foreign_failed', 'early_done', 'skip', 'silent', 'closed');

/** Relays a stream over connections with these faults and checks the text that the sink received. */
async function checkRelay(tokens: number, faults: readonly InjectedFault[]): Promise<void> {
	const source = faults[Symbol.iterator]();
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
	const expected = Array.from({length: outcome.tokens}, (_, index) => tokenText(index)).join('');
	expect(text).toBe(expected);
	expect(['finished', 'lost']).toContain(outcome.kind);
	expect(outcome.kind === 'finished' ? outcome.tokens : tokens).toBe(tokens);
}

describe('token relay', () => {
	it('should deliver each token of its own stream once and in order, whatever events a connection delivers', async () => {
		// Cases run concurrently, because the relay pauses after each fault.
		const cases = fc.array(fc.tuple(fc.nat(20), fc.array(injectedFault, {maxLength: 60})), {minLength: 20, maxLength: 20});
		await fc.assert(fc.asyncProperty(cases, async streams => {
			await Promise.all(streams.map(async ([tokens, faults]) => checkRelay(tokens, faults)));
		}), {numRuns: 5});
	});
});

describe('event stream', () => {
	it('should block the writer while the client does not read, and unblock it when the client disconnects', async () => {
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
		const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
		client.pause();
		client.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
		let previousSent = -1;
		await vi.waitFor(() => {
			const isBlocked = sent > 0 && sent === previousSent;
			previousSent = sent;
			expect(isBlocked && response?.writableNeedDrain).toBe(true);
		}, {timeout: 10_000, interval: 200});
		expect(response!.writableLength).toBeLessThan(200_000);
		client.destroy();
		await vi.waitFor(() => {
			expect(ended).toBe(true);
		});
		server.close();
	});
});
