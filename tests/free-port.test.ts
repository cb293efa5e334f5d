import {readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';
import {freePeerPort, freePort} from '../testing/free-port.js';

describe('free ports', () => {
	it('should not be ports that outgoing connections of parallel tests may take', async () => {
		// A test failed with EADDRINUSE beside tests that opened hundreds of connections.
		const [first] = readFileSync('/proc/sys/net/ipv4/ip_local_port_range', 'utf8').trim().split(/\s+/v).map(Number);
		for (let count = 0; count < 20; count++) {
			expect(await freePort()).toBeLessThan(first!);
			expect(await freePeerPort()).toBeLessThan(first!);
		}
	});
});
