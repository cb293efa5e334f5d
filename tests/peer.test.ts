import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {PeerClients} from '../src/peer/peer-clients.js';
import {PeerError} from '../src/peer/peer-error.js';
import {createPeerServer, type PeerServer} from '../src/peer/peer-server.js';
import type {PeerService, Reserve} from '../src/peer/protocol.js';
import {requestOf} from './fixtures/capacity-fixtures.js';

const sender = {id: 'd1', incarnation: 'i1', peerAddress: '127.0.0.1:1'};
const rejectUnexpectedCall = async (): Promise<never> => {
	throw new Error('unexpected call in this test');
};

const createService = (parts: Partial<PeerService>): PeerService => ({
	reserve: rejectUnexpectedCall,
	acknowledge: rejectUnexpectedCall,
	release: rejectUnexpectedCall,
	keepAlive: rejectUnexpectedCall,
	stepDown: rejectUnexpectedCall,
	promise: rejectUnexpectedCall,
	configuration: rejectUnexpectedCall,
	claim: rejectUnexpectedCall,
	settle: rejectUnexpectedCall,
	levels: rejectUnexpectedCall,
	...parts,
});

const openResources: Array<{close(): Promise<void>}> = [];

async function startServer(parts: Partial<PeerService>): Promise<{readonly server: PeerServer; readonly clients: PeerClients}> {
	const server = await createPeerServer(createService(parts), {host: '127.0.0.1', port: 0});
	const clients = PeerClients.create();
	openResources.push(clients, server);
	return {server, clients};
}

afterEach(async () => {
	await Promise.all(openResources.splice(0).map(async item => item.close()));
});

describe('peer protocol', () => {
	it('should cancel a waiting reservation at the coordinator when the caller aborts', async () => {
		let cancelled = false;
		let waiting = false;
		const {server, clients} = await startServer({
			reserve: async (_message, signal) => new Promise((_resolve, reject) => {
				waiting = true;
				signal?.addEventListener('abort', () => {
					cancelled = true;
					reject(new Error('cancelled'));
				});
			}),
		});
		const abortController = new AbortController();
		const call = clients.clientFor(server.address, 0).reserve({...requestOf('d1.i1.1'), sender}, abortController.signal);
		await vi.waitFor(() => {
			expect(waiting).toBe(true);
		});
		abortController.abort();
		await expect(call).rejects.toMatchObject({step: 'reserve', peer: server.address});
		await vi.waitFor(() => {
			expect(cancelled).toBe(true);
		});
	});

	it('should reject a message that does not match its schema without calling the service', async () => {
		const reserve = vi.fn(rejectUnexpectedCall);
		const {server, clients} = await startServer({reserve});
		const malformed = {...requestOf('d1.i1.1'), sender, promptTokens: -1} satisfies Reserve;
		await expect(clients.clientFor(server.address, 0).reserve(malformed)).rejects.toBeInstanceOf(PeerError);
		expect(reserve).not.toHaveBeenCalled();
	});

	it('should reject a response that does not match its schema', async () => {
		const {server, clients} = await startServer({stepDown: async () => ({confirmed: 'yes'} as unknown as {confirmed: boolean})});
		await expect(clients.clientFor(server.address, 0).stepDown({pool: 'p', epoch: 1})).rejects.toMatchObject({step: 'stepDown'});
	});

	it('should close idle clients, but none with a call in flight', async () => {
		let respond: (() => void) | undefined;
		const {server, clients} = await startServer({
			levels: async () => new Promise(resolve => {
				respond = () => {
					resolve({});
				};
			}),
		});
		const call = clients.clientFor(server.address, 0).levels();
		await vi.waitFor(() => {
			expect(respond).toBeDefined();
		});
		await clients.closeIdle(1e9);
		expect(clients.size).toBe(1);
		respond!();
		expect(await call).toEqual({});
		await clients.closeIdle(1e9);
		expect(clients.size).toBe(0);
	});
});
