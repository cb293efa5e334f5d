import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {PeerClients} from '../src/peer/peer-clients.js';
import {PeerError} from '../src/peer/peer-error.js';
import {createPeerServer, type PeerServer} from '../src/peer/peer-server.js';
import type {PeerService, Reserve} from '../src/peer/protocol.js';
import {requestOf} from './fixtures/capacity-fixtures.js';

const sender = {id: 'd1', incarnation: 'i1', peerAddress: '127.0.0.1:1'};
const refuse = async (): Promise<never> => {
	throw new Error('not part of this test');
};

const serviceOf = (parts: Partial<PeerService>): PeerService => ({
	reserve: refuse, acknowledge: refuse, release: refuse, keepAlive: refuse, stepDown: refuse, promise: refuse, configuration: refuse, claim: refuse, settle: refuse, levels: refuse, ...parts,
});

const closing: Array<{close(): Promise<void>}> = [];

async function start(parts: Partial<PeerService>): Promise<{readonly server: PeerServer; readonly clients: PeerClients}> {
	const server = await createPeerServer(serviceOf(parts), {host: '127.0.0.1', port: 0});
	const clients = PeerClients.create();
	closing.push(clients, server);
	return {server, clients};
}

afterEach(async () => {
	await Promise.all(closing.splice(0).map(async item => item.close()));
});

describe('peer protocol', () => {
	it('should cancel a waiting reservation at the coordinator when the caller aborts', async () => {
		let cancelled = false;
		let waiting = false;
		const {server, clients} = await start({
			reserve: async (_message, signal) => new Promise((_resolve, reject) => {
				waiting = true;
				signal?.addEventListener('abort', () => {
					cancelled = true;
					reject(new Error('cancelled'));
				});
			}),
		});
		const abort = new AbortController();
		const call = clients.clientFor(server.address, 0).reserve({...requestOf('d1.i1.1'), sender}, abort.signal);
		await vi.waitFor(() => {
			expect(waiting).toBe(true);
		});
		abort.abort();
		await expect(call).rejects.toMatchObject({step: 'reserve', peer: server.address});
		await vi.waitFor(() => {
			expect(cancelled).toBe(true);
		});
	});

	it('should refuse a message that does not match its schema before the service sees it', async () => {
		const reserve = vi.fn(refuse);
		const {server, clients} = await start({reserve});
		const malformed = {...requestOf('d1.i1.1'), sender, promptTokens: -1} satisfies Reserve;
		await expect(clients.clientFor(server.address, 0).reserve(malformed)).rejects.toBeInstanceOf(PeerError);
		expect(reserve).not.toHaveBeenCalled();
	});

	it('should reject an answer that does not match its schema', async () => {
		const {server, clients} = await start({stepDown: async () => ({confirmed: 'yes'} as unknown as {confirmed: boolean})});
		await expect(clients.clientFor(server.address, 0).stepDown({pool: 'p', epoch: 1})).rejects.toMatchObject({step: 'stepDown'});
	});

	it('should close clients that are idle, but none with a call in flight', async () => {
		let answer: (() => void) | undefined;
		const {server, clients} = await start({
			levels: async () => new Promise(resolve => {
				answer = () => {
					resolve({});
				};
			}),
		});
		const call = clients.clientFor(server.address, 0).levels();
		await vi.waitFor(() => {
			expect(answer).toBeDefined();
		});
		await clients.closeIdle(1e9);
		expect(clients.size).toBe(1);
		answer!();
		expect(await call).toEqual({});
		await clients.closeIdle(1e9);
		expect(clients.size).toBe(0);
	});
});
