import {
	afterEach, describe, expect, it,
} from 'vitest';
import {MetadataStoreClient} from '../platform/metadata-store-client.js';
import {EngineClient} from '../src/backend/engine-client.js';
import {HttpObjectApi} from '../src/object-api/http-object-api.js';
import {PeerClient} from '../src/peer/peer-client.js';
import {ReplicaClient} from '../src/store/replica-client.js';
import {createLogger} from '../src/util/logger.js';
import {RawServer, sendAndEnd, type RawEnding} from './fixtures/raw-server.js';

type InternalCall = {
	/** Body of a whole answer. */
	readonly body: string;
	/** Kind of the outcome without an answer. */
	readonly failedKind: string;
	/** Resolves with the kind of the outcome. */
	call(server: RawServer): Promise<{readonly kind: string}>;
};

const cleanups: Array<() => unknown> = [];

afterEach(async () => {
	await Promise.all(cleanups.splice(0).map(async close => close()));
});

function closeLater<T extends {close(): unknown}>(closable: T): T {
	cleanups.push(() => closable.close());
	return closable;
}

const logger = createLogger('info', {}, () => undefined);
const limit = {timeoutMs: 2000};
const objectApi = ({address}: RawServer) => closeLater(HttpObjectApi.create({baseUrl: `http://${address}`, caller: 'd-1'}));

async function callPeer(address: string): Promise<{readonly kind: string}> {
	try {
		await closeLater(PeerClient.create(address)).levels();
		return {kind: 'answered'};
	} catch {
		return {kind: 'failed'};
	}
}

const CALLS: Readonly<Record<string, InternalCall>> = {
	'read of the object API': {
		body: '{"key":"a","version":12,"value":{}}',
		call: async server => objectApi(server).read('a', limit),
		failedKind: 'unavailable',
	},
	'write to the object API': {
		body: '{"version":12}',
		call: async server => objectApi(server).write('a', {}, {kind: 'absent'}, limit),
		failedKind: 'unknown',
	},
	'list of the metadata store': {
		body: '{"entries":[],"has-more":false,"as-of":12}',
		call: async ({address}) => closeLater(MetadataStoreClient.create(address, 'd-1', logger)).list('servers', limit),
		failedKind: 'unavailable',
	},
	'list of a relay': {
		body: '{"result":{"data":{"kind":"listed","objects":[],"era":0,"revision":12}}}',
		call: async ({port}) => closeLater(ReplicaClient.create(port, logger)).list('127.0.0.1', 'servers', limit),
		failedKind: 'unavailable',
	},
	'call to a peer': {
		body: '{"result":{"data":[1]}}',
		call: async ({address}) => callPeer(address),
		failedKind: 'failed',
	},
	'query to an engine': {
		body: '{"boot":"b-1","warm":true}',
		call: async ({address}) => closeLater(EngineClient.create()).health(address, limit),
		failedKind: 'failed',
	},
};

const FRAMINGS: ReadonlyArray<readonly [string, RawEnding, (body: string, cut: number) => string]> = [
	['no length, a reset', 'reset', (body, cut) => `\r\n${body.slice(0, cut)}`],
	['no length, an orderly end', 'close', (body, cut) => `\r\n${body.slice(0, cut)}`],
	['a length', 'close', (body, cut) => `content-length: ${body.length}\r\n\r\n${body.slice(0, cut)}`],
	['chunks', 'close', (body, cut) => `transfer-encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body.slice(0, cut)}`],
];

async function isAnswered({call, failedKind}: InternalCall, bytes: string, ending: RawEnding): Promise<boolean> {
	const server = closeLater(await RawServer.create(socket => {
		sendAndEnd(socket, bytes, ending);
	}));
	const {kind} = await call(server);
	return kind !== failedKind;
}

describe.each(Object.entries(CALLS))('answer to a %s', (_name, call) => {
	it('should be read when it is whole', async () => {
		await expect(isAnswered(call, `HTTP/1.1 200 OK\r\n\r\n${call.body}`, 'close')).resolves.toBe(true);
	});

	it.each(FRAMINGS)('should not be taken for whole when it ends early (%s)', async (_, ending, frame) => {
		for (let cut = 0; cut < call.body.length; cut++) {
			await expect(isAnswered(call, `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n${frame(call.body, cut)}`, ending), `cut after ${cut} bytes`).resolves.toBe(false);
		}
	});

	it.each(['000', '099', '101', '199', '600', '999'])('should not be made of a response with status %s', async status => {
		await expect(isAnswered(call, `HTTP/1.1 ${status} Odd\r\ncontent-length: ${call.body.length}\r\n\r\n${call.body}`, 'close')).resolves.toBe(false);
	});
});
