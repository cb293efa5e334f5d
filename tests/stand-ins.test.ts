import {
	afterEach, describe, expect, it,
} from 'vitest';
import {HostListStandIn} from '../testing/stand-ins/host-list/host-list-stand-in.js';
import {ObjectApiStandIn} from '../testing/stand-ins/object-api/object-api-stand-in.js';
import {PlainServiceStandIn} from '../testing/stand-ins/plain-service/plain-service-stand-in.js';
import {requestJson, waitUntil} from './fixtures/http.js';

const openStandIns: Array<{close(): Promise<void>}> = [];

afterEach(async () => {
	await Promise.all(openStandIns.splice(0).map(async standIn => standIn.close()));
});

/** Registers a stand-in that is closed after the test. */
function closeAfterTest<T extends {close(): Promise<void>}>(standIn: T): T {
	openStandIns.push(standIn);
	return standIn;
}

type StoredObject = {readonly version: number; readonly value: unknown};

describe('object API stand-in', () => {
	const startObjectApi = async (): Promise<{readonly api: ObjectApiStandIn; readonly url: string}> => {
		const api = closeAfterTest(await ObjectApiStandIn.create());
		return {api, url: `http://${api.address}/v1/objects/a/b`};
	};

	it('should apply a write only if its condition holds, and notify a watcher of the new version', async () => {
		const {api, url} = await startObjectApi();
		expect(await requestJson('PUT', url, 1, {'if-none-match': '*'})).toEqual({status: 200, body: {version: 1}});
		const watch = requestJson('GET', `http://${api.address}/v1/watch/a/b?after=1&waitMs=5000`);
		expect(await requestJson('PUT', url, 2, {'if-none-match': '*'})).toEqual({status: 412, body: {version: 1}});
		await waitUntil(() => api.counts().pendingWatches === 1);
		await requestJson('PUT', url, 3, {'if-match': '1'});
		expect(await watch).toEqual({status: 200, body: {key: 'a/b', version: 2, value: 3}});
		expect(await requestJson('DELETE', url, undefined, {'if-match': '1'})).toEqual({status: 412, body: {version: 2}});
		expect(api.counts()).toMatchObject({writes: 4, conflicts: 2, watches: 1});
	});

	it('should lose responses before or after a write takes effect, and reject a delayed write whose condition no longer holds', async () => {
		const {api, url} = await startObjectApi();
		const expectLostResponse = async (mode: 'after-effect' | 'before-effect' | 'late-effect', value: unknown, version: number): Promise<void> => {
			api.setFaults({lost: {mode, lateMs: 200, count: 1}});
			await expect(requestJson('PUT', url, value, version === 0 ? {'if-none-match': '*'} : {'if-match': String(version)})).rejects.toThrow();
		};

		await expectLostResponse('before-effect', 'x', 0);
		expect((await requestJson('GET', url))).toMatchObject({status: 404});
		await expectLostResponse('after-effect', 'first', 0);
		expect(await requestJson<StoredObject>('GET', url)).toMatchObject({body: {version: 1, value: 'first'}});
		await expectLostResponse('late-effect', 'late', 1);
		expect(await requestJson('GET', url)).toMatchObject({body: {value: 'first'}});
		await waitUntil(async () => {
			const {body} = await requestJson<StoredObject>('GET', url);
			return body.value === 'late';
		});
		await expectLostResponse('late-effect', 'too late', 2);
		await requestJson('PUT', url, 'fenced', {'if-match': '2'});
		await waitUntil(() => api.counts().conflicts === 1);
		expect(await requestJson('GET', url)).toMatchObject({body: {value: 'fenced'}});
	});

	it('should disconnect callers of one failure domain, and reject writes above its rate limit and all calls during an outage', async () => {
		const {api, url} = await startObjectApi();
		api.setFaults({cutCallers: ['braga'], writesPerSecond: 1});
		const disconnectedCall = requestJson('GET', url, undefined, {'x-caller': 'braga-1'});
		const disconnected = expect(disconnectedCall).rejects.toThrow();
		expect(await requestJson('GET', url, undefined, {'x-caller': 'braga-2-1'})).toMatchObject({status: 404});
		expect(await requestJson('PUT', url, 1, {'if-none-match': '*'})).toMatchObject({status: 200});
		expect(await requestJson('PUT', url, 1, {'if-match': '1'})).toMatchObject({status: 429});
		api.setFaults({outage: 'refuse'});
		await disconnected;
		expect(await requestJson('GET', url)).toMatchObject({status: 503});
	});

	it('should reject values above its size limit', async () => {
		const {url} = await startObjectApi();
		expect(await requestJson('PUT', url, 'x'.repeat(1024 * 1024), {'if-none-match': '*'})).toMatchObject({status: 413});
	});
});

describe('plain service stand-in', () => {
	const headers = {'x-operation-id': 'op'};

	it('should execute an operation whose response is lost, and reject a retry only if it checks operation ids', async () => {
		for (const checkIdentity of [false, true]) {
			const service = closeAfterTest(await PlainServiceStandIn.create({checkIdentity}));
			const url = `http://${service.address}/orders`;
			service.setFaults({loseResponses: true});
			await expect(requestJson('POST', url, {}, headers)).rejects.toThrow();
			service.setFaults({});
			expect(await requestJson('POST', url, {}, headers)).toMatchObject({status: checkIdentity ? 409 : 200});
			expect(service.counts()).toMatchObject({operations: {op: checkIdentity ? 1 : 2}});
		}
	});

	it('should crash when it is cold and exceeds its limit of concurrent requests', async () => {
		const service = closeAfterTest(await PlainServiceStandIn.create({coldRequests: 1, executeMs: 10_000}));
		const url = `http://${service.address}/orders`;
		const outcomes = await Promise.allSettled([requestJson('POST', url, {}), requestJson('POST', url, {})]);
		expect(outcomes.map(({status}) => status)).toEqual(['rejected', 'rejected']);
		expect(service.counts()).toMatchObject({overloadCrashes: 1, maxColdRequests: 2});
	});
});

describe('host list stand-in', () => {
	it('should list a leaving host only after the configured lag', async () => {
		const list = closeAfterTest(await HostListStandIn.create({lagMs: 200}));
		const url = `http://${list.address}`;
		const host = {
			id: 'h', address: '127.0.0.1:1', service: 's', failureDomain: 'd', state: 'live',
		};
		await requestJson('PUT', `${url}/hosts`, {hosts: [host]});
		await requestJson('PATCH', `${url}/hosts/h`, {state: 'leaving'});
		expect(await requestJson('GET', `${url}/v1/hosts`)).toMatchObject({body: {hosts: []}});
		await waitUntil(async () => {
			const {body} = await requestJson<{hosts: ReadonlyArray<{state: string}>}>('GET', `${url}/v1/hosts`);
			return body.hosts[0]?.state === 'leaving';
		});
	});
});
