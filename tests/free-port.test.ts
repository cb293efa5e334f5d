import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {connect, createServer} from 'node:net';
import {describe, expect, it} from 'vitest';
import {firstPortOf, freePeerPort, freePort} from '../testing/free-port.js';
import {ServerGate} from './fixtures/server-gate.js';

describe('free ports', () => {
	it('should not be ports that outgoing connections of parallel tests may take', async () => {
		// A test failed with EADDRINUSE beside tests that opened hundreds of connections.
		const [first] = readFileSync('/proc/sys/net/ipv4/ip_local_port_range', 'utf8').trim().split(/\s+/v).map(Number);
		for (let count = 0; count < 20; count++) {
			expect(await freePort()).toBeLessThan(first!);
			expect(await freePeerPort()).toBeLessThan(first!);
		}
	});

	it('should be of different ranges in parallel workers', () => {
		// Two workers chose the same port: one of them failed with EADDRINUSE.
		const ranges = [1, 2, 3, 4].map(worker => firstPortOf(worker)).sort((a, b) => a - b);
		for (const [index, first] of ranges.slice(1).entries()) {
			expect(first - ranges[index]!).toBeGreaterThan(1000);
		}
	});

	it('should not be chosen again soon, as their users may listen again later', async () => {
		const ports: number[] = [];
		for (let count = 0; count < 400; count++) {
			ports.push(await freePort());
		}

		expect(new Set(ports).size).toBe(400);
	});
});

describe('gate', () => {
	it('should have an address that no other process uses while it is cut', async () => {
		// The server of another test answered at the address of a gate that was cut, so the daemon did not notice the loss of its path.
		const gate = await ServerGate.create('127.0.0.1:1');
		const [host, port] = gate.address.split(':');
		await gate.cut('refuse');
		const others = ['127.0.0.1', '127.0.0.2'].map(address => createServer().listen(Number(port), address));
		await Promise.all(others.map(async other => once(other, 'listening')));
		await expect(once(connect({host, port: Number(port)}), 'connect')).rejects.toThrow('ECONNREFUSED');
		await Promise.all([gate.close(), ...others.map(async other => new Promise(resolve => {
			other.close(resolve);
		}))]);
	});
});
