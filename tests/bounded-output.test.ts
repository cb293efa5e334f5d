import type fs from 'node:fs';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {GatewayMetrics} from '../src/gateway/gateway-metrics.js';
import {BoundedOutput} from '../src/util/bounded-output.js';

type WriteCallback = (err: Error | null, bytes: number) => void;

// Simulates a standard output whose writes never complete.
const pendingWrites: WriteCallback[] = [];
vi.mock('node:fs', async original => ({
	...await original<typeof fs>(),
	write(_fd: number, _data: Uint8Array, callback: WriteCallback) {
		pendingWrites.push(callback);
	},
}));

afterEach(() => {
	pendingWrites.splice(0);
});

describe('bounded output', () => {
	it('should drop lines and count them in the metrics while the reader of the output is stalled', async () => {
		const output = BoundedOutput.create();
		const metrics = GatewayMetrics.create({
			droppedLines: () => output.dropped, quarantinedParts: () => 0, limitedServers: () => 0, isServerPathLost: () => false, waitingRequests: () => 0,
		});
		output.sink('first');
		await vi.waitFor(() => {
			expect(pendingWrites).toHaveLength(1);
		});
		for (let line = 0; line < 5000; line++) {
			output.sink('line');
		}

		expect(output.dropped).toBe(1000);
		expect(await metrics.text()).toContain('fireflyport_log_lines_dropped 1000');
	});
});
