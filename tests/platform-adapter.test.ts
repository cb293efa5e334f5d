import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {describe, expect, it} from 'vitest';
import {decodeConfiguration} from '../platform/configuration.js';
import {decodeServer} from '../platform/servers.js';
import {parseSettings, SettingsError} from '../platform/settings.js';
import {wireFormat} from '../platform/wire-format.js';
import {RouteTable} from '../src/gateway/route-table.js';
import {engineFields} from '../testing/stand-ins/platform/engine-fields.js';
import {configuration} from './fixtures/platform-world.js';

const root = path.resolve(import.meta.dirname, '..');

const settings = {
	node: 'front-braga-1',
	ip: '10.1.0.40',
	zone: 'braga',
	zones: {braga: 'pt-norte'},
	listen: {front: '10.1.0.40:8227', ready: '10.1.0.40:8220', control: '10.1.0.40:8229'},
	'internal-port-range': [7340, 7355],
	limits: {'cpu-share': 0.675, cores: 2},
	bounds: {
		'grace-s': 8, 'stable-window-ms': 3000, 'retry-budget-ratio': 0.2, 'budget-slack': 106,
	},
	platform: {address: '10.200.1.7:8223', form: 'objects'},
	'a-new-field': true,
};

const entry = {
	service: 'desk', address: '10.128.0.9:8080', zone: 'braga', version: 'v1', slots: 11, state: 'ready', 'cold-remaining-ms': 400, sequence: 4, born: 1_764_800_000_000,
};
const object = (value: unknown, name = 'i-7f3a91c2') => ({name, revision: 5, value});

describe('settings', () => {
	it('should be translated into the project\'s own names, and unknown fields ignored', () => {
		expect(parseSettings(JSON.stringify(settings), 'local.json')).toEqual({
			storeAddress: '10.200.1.7:8223',
			gateway: {
				daemon: 'front-braga-1',
				ip: '10.1.0.40',
				failureDomain: 'braga',
				regions: {braga: 'pt-norte'},
				listen: '10.1.0.40:8227',
				readyListen: '10.1.0.40:8220',
				cores: 1.35,
				peerPort: 7340,
				metricsPort: 7355,
				stableWindowMs: 3000,
				stopGraceMs: 8000,
				retryShare: 0.2,
				retrySlack: 106,
			},
		});
	});

	it('should name the field, its value and what is accepted when they are wrong', () => {
		const wrong = {...settings, listen: {...settings.listen, front: 'everywhere'}, bounds: {...settings.bounds, 'grace-s': -1}};
		expect(() => parseSettings(JSON.stringify(wrong), 'local.json')).toThrow(SettingsError);
		expect(() => parseSettings(JSON.stringify(wrong), 'local.json')).toThrow(/listen\.front is "everywhere": expected IP:PORT.*bounds\.grace-s is -1/v);
		expect(() => parseSettings('{', 'local.json')).toThrow(/local\.json is not JSON/v);
	});
});

describe('configuration', () => {
	it('should be decoded with units and kinds of the project', () => {
		const decoded = decodeConfiguration(object(configuration(7), 'main'))!;
		expect(decoded.version).toBe(7);
		expect(decoded.routes.map(({kind}) => kind)).toEqual([
			{kind: 'idempotent'}, {kind: 'non_idempotent'}, {kind: 'stream', resumable: true, gapTargetMs: 200}, {kind: 'stream', resumable: false, gapTargetMs: 200},
		]);
		expect(decoded.services[1]!.engine).toMatchObject({prefillTokensPerMs: 256, memoryTokens: engineFields['kv-capacity-tokens'], stepsPerPass: 46});
		expect(decodeConfiguration(object(configuration(7), 'another'))).toBeUndefined();
		expect(() => decodeConfiguration(object({version: 'x'}, 'main'))).toThrow();
	});

	it('should choose the route with the longest prefix and the workspace of a key', () => {
		const more = {
			routes: [...configuration(1).routes, {
				...configuration(1).routes[0], name: 'deep', 'path-prefix': '/look/deep/', anonymous: true,
			}],
		};
		const table = RouteTable.create(decodeConfiguration(object(configuration(1, more), 'main'))!);
		expect(table.match('desk.example:80', '/look/deep/x')!.name).toBe('deep');
		expect(table.match('desk.example', '/look/x')!.name).toBe('look');
		expect(table.match('desk.example', '/loo')).toBeUndefined();
		expect(table.match('other.example', '/look/x')).toBeUndefined();
		expect(table.checkAccess(table.match('desk.example', '/look/x')!, undefined).kind).toBe('denied');
		expect(table.checkAccess(table.match('desk.example', '/look/deep/')!, undefined).kind).toBe('anonymous');
		expect(table.checkAccess(table.match('desk.example', '/look/x')!, 'key-of-quintas')).toMatchObject({workspace: {name: 'quintas'}});
	});
});

describe('registrations', () => {
	it('should be decoded, with a new identity after a restart under the same id', () => {
		const server = decodeServer(object(entry), 1000);
		expect(server).toMatchObject({
			instanceId: 'i-7f3a91c2', service: 'desk', failureDomain: 'braga', isDraining: false, coldUntil: 1400,
		});
		expect(decodeServer(object({...entry, born: entry.born + 5}), 1000).id).not.toBe(server.id);
	});

	it('should reject entries of other writers that name no server to use', () => {
		for (const wrong of [null, 'bytes', {...entry, address: 7}, {...entry, state: 'asleep'}, {...entry, zone: undefined}, {...entry, slots: 'many'}]) {
			expect(() => decodeServer(object(wrong), 1000)).toThrow();
		}
	});
});

describe('headers', () => {
	it('should drop those of one connection and those that only the gateway sets', () => {
		const raw = [
			'Host',
			'desk.example',
			'Connection',
			'keep-alive, X-Hop',
			'X-Hop',
			'1',
			'Fireflyport-Credential',
			'secret',
			'Fireflyport-Tenant',
			'forged',
			'Fireflyport-Helpers',
			'10.0.0.1:1',
			'Fireflyport-Token-Counts',
			'1460,80',
			'Content-Length',
			'3',
		];
		const headers = wireFormat.backendHeaders(raw, {
			instanceId: 'i-1', deadlineMs: 900, workspace: undefined, lastEventId: 12, helpers: [], urgency: undefined,
		});
		expect(headers).toEqual(['Host', 'desk.example', 'Fireflyport-Token-Counts', '1460,80', 'fireflyport-target-instance', 'i-1', 'fireflyport-deadline-ms', '900', 'last-event-id', '12']);
	});

	it('should tell a rejection from a failure that may have run', () => {
		expect(wireFormat.readResponseMetadata(503, {}).isNotExecuted).toBe(false);
		expect(wireFormat.readResponseMetadata(503, {'fireflyport-not-executed': '1'}).isNotExecuted).toBe(true);
		expect(wireFormat.readResponseMetadata(421, {}).isNotExecuted).toBe(true);
		expect(wireFormat.formatRetryAfter(700)).toBe('0.70');
	});
});

describe('the seam', () => {
	it('should keep the names of the platform out of everything but the adapter', () => {
		const files = readdirSync(path.join(root, 'src'), {recursive: true, encoding: 'utf8'}).filter(file => file.endsWith('.ts'));
		const names = /fireflyport-(?:attempt|credential|tenant|target|token|response-seal|not-executed)|\/-\/|evacuations|weighted-services|cold-remaining|kv-capacity/iv;
		expect(files.filter(file => names.test(readFileSync(path.join(root, 'src', file), 'utf8')))).toEqual([]);
		expect(files.filter(file => /from '(?:\.\.\/)+platform\//v.test(readFileSync(path.join(root, 'src', file), 'utf8')))).toEqual([]);
	});
});
