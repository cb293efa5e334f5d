/** One HTTP server that acts as many backend servers at low cost, for benchmarks of control traffic. Implements the engine protocol. */
import {StandInServer, readJson, sendJson} from '../stand-ins/stand-in-server.js';
import {streamRequestSchema} from '../../src/backend/engine-protocol.js';
import type {Host} from '../../src/object-api/host-list.js';

const BOOT_ID = 'crowd';
const health = {boot: BOOT_ID, warm: true};

/** Serves all hosts of {@link BackendStubs.hosts}. Each stream finishes immediately with one token. */
export class BackendStubs {
	static async create(): Promise<BackendStubs> {
		const stream = /^\/v1\/streams(?:\/.*)?$/v;
		return new BackendStubs(await StandInServer.create(0, [
			{
				method: 'GET', pattern: /^\/health$/v, handle({res}) {
					sendJson(res, 200, health);
				},
			},
			{
				method: 'GET', pattern: /^\/load$/v, handle({res}) {
					sendJson(res, 200, {
						...health, ageMs: 100, runningRequests: 0, pendingPrefillTokens: 0, kvTokensUsed: 0, kvTokensTotal: 400_000, models: [], role: 'mixed',
					});
				},
			},
			{
				method: 'GET', pattern: /^\/cache-events$/v, handle({res}) {
					sendJson(res, 200, {events: []});
				},
			},
			{
				method: 'POST', pattern: stream, async handle({req, res}) {
					const {id} = await readJson(req, streamRequestSchema);
					const done = {
						id, finishReason: 'stop', promptTokens: 1, completionTokens: 1, cachedTokens: 0,
					};
					res.writeHead(200, {
						'content-type': 'text/event-stream', 'x-engine-boot': BOOT_ID, 'x-engine-warm': 'true', 'x-stream-id': id,
					});
					res.write(`event: token\ndata: ${JSON.stringify({id, index: 0, text: 'a'})}\n\n`);
					res.end(`event: done\ndata: ${JSON.stringify(done)}\n\n`);
				},
			},
			{
				method: 'DELETE', pattern: stream, handle({res}) {
					res.writeHead(204).end();
				},
			},
			{
				method: 'GET', pattern: stream, handle({res}) {
					sendJson(res, 200, {...health, streams: [], segments: []});
				},
			},
		]));
	}

	private constructor(private readonly server: StandInServer) {}

	/** Host list entries for `count` backend servers of a service, distributed evenly over the failure domains. */
	hosts(service: string, failureDomains: readonly string[], count: number): readonly Host[] {
		return Array.from({length: count}, (_, index) => ({
			id: `${service}-${index}`, address: this.server.address, service, failureDomain: failureDomains[index % failureDomains.length]!, state: 'live' as const,
		}));
	}

	async close(): Promise<void> {
		await this.server.close();
	}
}
