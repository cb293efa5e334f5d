import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {
	describe, expect, it,
} from 'vitest';
import {EventSplitter} from '../src/forwarding/event-splitter.js';
import {ResponseBuffers} from '../src/forwarding/response-buffers.js';

describe('memory of responses', () => {
	it('should drop the largest response, and none that fits beside the others', () => {
		const dropped: string[] = [];
		const buffers = ResponseBuffers.create(100);
		const open = (name: string) => buffers.open(() => {
			dropped.push(name);
		});
		const [small, large, larger] = [open('small'), open('large'), open('larger')];
		small.record(10);
		large.record(40);
		larger.record(50);
		expect(dropped).toEqual([]);
		small.record(11);
		expect(dropped).toEqual(['larger']);
		expect(buffers.totalBytes).toBe(51);
	});

	it('should drop no response that is being sent while these hold less than half of the limit', () => {
		const dropped: string[] = [];
		const buffers = ResponseBuffers.create(100);
		const open = (name: string) => buffers.open(() => {
			dropped.push(name);
		});
		const [sent, received, larger] = [open('sent'), open('received'), open('larger')];
		sent.record(50);
		sent.startSending(() => {
			dropped.push('sent');
		});
		received.record(20);
		larger.record(31);
		expect(dropped).toEqual(['larger']);
		expect(buffers.totalBytes).toBe(70);
	});

	it('should drop the largest response that is being sent when these hold more than half of the limit', () => {
		const dropped: string[] = [];
		const buffers = ResponseBuffers.create(100);
		for (const [name, bytes] of [['slow', 21], ['slower', 30]] as const) {
			const account = buffers.open(() => undefined);
			account.record(bytes);
			account.startSending(() => {
				dropped.push(name);
			});
		}

		buffers.open(() => {
			dropped.push('received');
		}).record(50);
		expect(dropped).toEqual(['slower']);
		expect(buffers.totalBytes).toBe(71);
	});

	it('should never hold more than its limit, and hold nothing once all responses are closed', () => {
		fc.assert(fc.property(
			fc.array(fc.record({
				response: fc.nat({max: 4}), bytes: fc.nat({max: 80}), isClosed: fc.boolean(), isSent: fc.boolean(),
			})),
			steps => {
				const buffers = ResponseBuffers.create(100);
				const accounts = Array.from({length: 5}, () => buffers.open(() => undefined));
				for (const {response, bytes, isClosed, isSent} of steps) {
					if (isClosed) {
						accounts[response]!.close();
					} else if (isSent) {
						accounts[response]!.startSending(() => undefined);
					} else {
						accounts[response]!.record(bytes);
					}

					expect(buffers.totalBytes).toBeLessThanOrEqual(100);
				}

				for (const account of accounts) {
					account.close();
				}

				expect(buffers.totalBytes).toBe(0);
			},
		));
	});
});

describe('splitting of event streams', () => {
	it('should return the same events however their bytes are divided into chunks', () => {
		const line = fc.constantFrom('id: 7', 'id:8', ': comment', 'data: x', 'data:', '\r', '');
		fc.assert(fc.property(fc.array(line), fc.array(fc.integer({min: 1, max: 9})), (lines, sizes) => {
			const bytes = Buffer.from(lines.map(text => `${text}\n`).join(''));
			const whole = EventSplitter.create();
			const expected = whole.push(bytes).map(event => ({id: event.id, text: Buffer.from(event.bytes).toString()}));
			const parts = EventSplitter.create();
			const events = [];
			let offset = 0;
			for (const size of [...sizes, bytes.length]) {
				events.push(...parts.push(bytes.subarray(offset, offset + size)));
				offset += size;
			}

			expect(events.map(event => ({id: event.id, text: Buffer.from(event.bytes).toString()}))).toEqual(expected);
			expect(parts.pendingBytes).toBe(whole.pendingBytes);
		}));
	});

	it('should take time proportional to the bytes of an event that arrives in tiny chunks', () => {
		const splitter = EventSplitter.create();
		const byte = Buffer.from('x');
		const startedAt = performance.now();
		for (let count = 0; count < 1_000_000; count++) {
			splitter.push(byte);
		}

		// Copying the pending event for each chunk would move 500 GB.
		expect(performance.now() - startedAt).toBeLessThan(5000);
	});
});
