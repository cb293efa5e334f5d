import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {describe, expect, it} from 'vitest';
import {decodeConfiguration} from '../platform/configuration.js';
import {decodeServer} from '../platform/servers.js';
import {parseSettings, SettingsError} from '../platform/settings.js';
import {wireFormat} from '../platform/wire-format.js';
import {RouteTable} from '../src/gateway/route-table.js';
import {engineFields} from '../testing/stand-ins/platform/engine-fields.js';
import {platformConfiguration} from './fixtures/gateway-fixture.js';

const root = path.resolve(import.meta.dirname, '..');

const ignoreAdjustment = (): void => undefined;

const settings = {
	node: 'front-braga-1',
	ip: '10.1.0.40',
	zone: 'braga',
	zones: {braga: 'pt-norte'},
	listen: {front: '10.1.0.40:8227', ready: '10.1.0.40:8220', control: '10.1.0.40:8229'},
	'internal-port-range': [7340, 7355],
	limits: {'cpu-share': 0.675, cores: 2, 'memory-mb': 350},
	bounds: {
		'grace-s': 8, 'stable-window-ms': 3000, 'retry-budget-ratio': 0.2, 'budget-slack': 106,
	},
	platform: {address: '10.200.1.7:8223', form: 'objects'},
	'a-new-field': true,
};

const registration = {
	service: 'desk', address: '10.128.0.9:8080', zone: 'braga', version: 'v1', slots: 11, state: 'ready', 'cold-remaining-ms': 400, sequence: 4, born: 1_764_800_000_000,
};
const storedObject = (value: unknown, name = 'i-7f3a91c2') => ({name, revision: 5, value});

describe('settings', () => {
	it('should be converted to internal names and units, ignoring unknown fields', () => {
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
				memoryBytes: 367_001_600,
				peerPort: 7340,
				metricsPort: 7355,
				stableWindowMs: 3000,
				changeBoundMs: 2000,
				stopGraceMs: 8000,
				serverHeartbeatMs: 1200,
				retryShare: 0.2,
				retrySlack: 106,
				serverPace: 'off',
				workspaceShares: 'off',
			},
		});
	});

	it.each([
		['FIREFLYPORT_SERVER_PACE', 'serverPace', 'adaptive'],
		['FIREFLYPORT_WORKSPACE_SHARES', 'workspaceShares', 'fair'],
	] as const)('should change what %s names only if the environment asks for it, and refuse another value', (variable, field, mode) => {
		const parse = (value: string) => parseSettings(JSON.stringify(settings), 'local.json', {[variable]: value}).gateway[field];
		expect(parse(mode)).toBe(mode);
		expect(parse('off')).toBe('off');
		for (const value of ['on', '', mode.toUpperCase()]) {
			expect(() => parse(value)).toThrow(`${variable} is "${value}": expected one of off, ${mode}`);
		}
	});

	it('should report the field, the value and the accepted format of each invalid setting', () => {
		const invalid = {...settings, listen: {...settings.listen, front: 'everywhere'}, bounds: {...settings.bounds, 'grace-s': -1}};
		expect(() => parseSettings(JSON.stringify(invalid), 'local.json')).toThrow(SettingsError);
		expect(() => parseSettings(JSON.stringify(invalid), 'local.json')).toThrow(/listen\.front is "everywhere": expected IP:PORT.*bounds\.grace-s is -1/v);
		expect(() => parseSettings('{', 'local.json')).toThrow(/local\.json is not JSON/v);
	});

	it('should name ports and addresses that cannot be used instead of failing to listen or to connect', () => {
		const invalid = {
			...settings, listen: {front: '10.1.0.40:99999', ready: '10.1.0.400:8220'}, 'internal-port-range': [0, 65_536], platform: {address: '10.200.1.7:0'},
		};
		for (const field of ['listen.front', 'listen.ready', 'internal-port-range.0', 'internal-port-range.1', 'platform.address']) {
			expect(() => parseSettings(JSON.stringify(invalid), 'local.json')).toThrow(`${field} is`);
		}
	});

	it.each(['['.repeat(100_000), '['.repeat(100_000) + ']'.repeat(100_000), `{"ip": ${'['.repeat(100_000)}${']'.repeat(100_000)}}`])('should report nested text as invalid settings', text => {
		expect(() => parseSettings(text, 'local.json')).toThrow(SettingsError);
	});
});

describe('configuration', () => {
	it('should be decoded to internal units and request kinds', () => {
		const decoded = decodeConfiguration(storedObject(platformConfiguration(7), 'main'), ignoreAdjustment)!;
		expect(decoded.version).toBe(7);
		expect(decoded.routes.map(({kind}) => kind)).toEqual([
			{kind: 'idempotent'}, {kind: 'non_idempotent'}, {kind: 'stream', resumable: true, gapTargetMs: 200}, {kind: 'stream', resumable: false, gapTargetMs: 200},
		]);
		expect(decoded.services[1]!.engine).toMatchObject({prefillTokensPerMs: 256, memoryTokens: engineFields['kv-capacity-tokens'], stepsPerPass: 46});
		expect(decodeConfiguration(storedObject(platformConfiguration(7), 'another'), ignoreAdjustment)).toBeUndefined();
		expect(() => decodeConfiguration(storedObject({version: 'x'}, 'main'), ignoreAdjustment)).toThrow();
	});

	it('should match the route with the longest path prefix, and map a credential to its workspace', () => {
		const overrides = {
			routes: [...platformConfiguration(1).routes, {
				...platformConfiguration(1).routes[0], name: 'deep', 'path-prefix': '/look/deep/', anonymous: true,
			}],
		};
		const table = RouteTable.create(decodeConfiguration(storedObject(platformConfiguration(1, overrides), 'main'), ignoreAdjustment)!);
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
	it('should be decoded, with a new id after a restart under the same instance id', () => {
		const server = decodeServer(storedObject(registration), 1000);
		expect(server).toMatchObject({
			instanceId: 'i-7f3a91c2', service: 'desk', failureDomain: 'braga', isDraining: false, coldUntil: 1400,
		});
		expect(decodeServer(storedObject({...registration, born: registration.born + 5}), 1000).id).not.toBe(server.id);
	});

	it('should be rejected when malformed, since other programs write them too', () => {
		for (const invalid of [null, 'bytes', {...registration, address: 7}, {...registration, state: 'asleep'}, {...registration, zone: undefined}, {...registration, slots: 'many'}]) {
			expect(() => decodeServer(storedObject(invalid), 1000)).toThrow();
		}
	});
});

describe('headers', () => {
	it('should be removed if they are hop-by-hop or may be set only by the gateway', () => {
		const rawHeaders = [
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
		const headers = wireFormat.backendHeaders(rawHeaders, {
			instanceId: 'i-1', deadlineMs: 900, workspace: undefined, lastEventId: 12, helpers: [], urgency: undefined,
		});
		expect(headers).toEqual(['Host', 'desk.example', 'Fireflyport-Token-Counts', '1460,80', 'fireflyport-target-instance', 'i-1', 'fireflyport-deadline-ms', '900', 'last-event-id', '12']);
	});

	it('should distinguish a rejected request from a failed one that may have run', () => {
		expect(wireFormat.readResponseMetadata(503, {}).isNotExecuted).toBe(false);
		expect(wireFormat.readResponseMetadata(503, {'fireflyport-not-executed': '1'}).isNotExecuted).toBe(true);
		expect(wireFormat.readResponseMetadata(421, {}).isNotExecuted).toBe(true);
		expect(wireFormat.formatRetryAfter(700)).toBe('0.70');
	});
});

describe('platform boundary', () => {
	it('should keep platform names and imports out of src', () => {
		const files = readdirSync(path.join(root, 'src'), {recursive: true, encoding: 'utf8'}).filter(file => file.endsWith('.ts'));
		const platformNames = /fireflyport-(?:attempt|credential|tenant|target|token|response-seal|not-executed)|\/-\/|evacuations|weighted-services|cold-remaining|kv-capacity/iv;
		expect(files.filter(file => platformNames.test(readFileSync(path.join(root, 'src', file), 'utf8')))).toEqual([]);
		expect(files.filter(file => /from '(?:\.\.\/)+platform\//v.test(readFileSync(path.join(root, 'src', file), 'utf8')))).toEqual([]);
	});
});
