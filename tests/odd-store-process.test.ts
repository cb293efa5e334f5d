import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import type {ServerResponse} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {buildPlatformProgram, platformNodeFlags} from '../testing/platform-program.js';
import {GatewayFixture, platformConfiguration} from './fixtures/gateway-fixture.js';
import {waitUntil} from './fixtures/http.js';
import {HttpStandIn} from './fixtures/http-stand-in.js';

const DEEP = `${'['.repeat(60_000)}${']'.repeat(60_000)}`;
/** Specs in JSON that other writers may leave under any kind. */
const ODD_SPECS = [DEEP, `{"address": ${DEEP}}`, '1e400', '-1e400', 'NaN', '{"born": Infinity}', '{"__proto__": {"service": "desk"}}', String.raw`"\u0000"`, 'null', '[]'];
const KINDS = ['config', 'servers', 'evacuations', 'fireflyport-daemons'];

let folder: string;
let world: GatewayFixture;
let store: HttpStandIn;
let child: ChildProcess | undefined;
let revision: number;
let events: Map<string, string[]>;
let waiting: Array<{readonly kind: string; readonly res: ServerResponse}>;

const entry = (name: string, spec: string): string => `{"metadata": {"name": ${JSON.stringify(name)}, "revision": ${++revision}}, "spec": ${spec}}`;

function put(kind: string, name: string, spec: string): void {
	events.get(kind)!.push(entry(name, spec));
}

function answerWatches(): void {
	for (const {kind, res} of waiting) {
		const text = events.get(kind)!.map(object => `{"object": ${object}, "deleted": false}`).join(',');
		res.end(`{"events": [${text}], "as-of": ${revision}}`);
	}

	waiting = [];
}

const putOdd = (name: string): void => {
	for (const kind of KINDS) {
		for (const [index, spec] of ODD_SPECS.entries()) {
			put(kind, `${name}-${index}`, spec);
		}
	}
};

beforeEach(async () => {
	folder = mkdtempSync(path.join(tmpdir(), 'fireflyport-'));
	world = await GatewayFixture.create();
	revision = 1;
	waiting = [];
	events = new Map(KINDS.map(kind => [kind, []]));
	store = await HttpStandIn.start((req, res) => {
		const url = new URL(req.url!, 'http://store');
		const kind = url.pathname.split('/').at(-1)!;
		if (req.method === 'POST') {
			req.resume();
			res.writeHead(201).end('{}');
		} else if (url.searchParams.has('watch')) {
			const seen = revision;
			waiting.push({kind, res});
			setTimeout(() => {
				res.end(`{"events": [], "as-of": ${seen}}`);
				waiting = waiting.filter(watch => watch.res !== res);
			}, Number(url.searchParams.get('wait-ms')));
		} else {
			res.end(`{"entries": [${events.get(kind)!.join(',')}], "has-more": false, "as-of": ${revision}}`);
		}
	});
});

afterEach(async () => {
	child?.kill('SIGKILL');
	await store.close();
	await world.close();
	rmSync(folder, {recursive: true});
});

describe('platform program beside odd entries of the store', () => {
	it('should neither end nor stop following it, whether they are listed or watched', async () => {
		const server = await world.addServer('desk', {instance: 'i-1'});
		put('config', 'main', JSON.stringify(platformConfiguration(3)));
		putOdd('listed');
		put('servers', 'i-1', JSON.stringify({
			service: 'desk', address: server.address, zone: 'braga', slots: 6, state: 'ready',
		}));
		const settings = path.join(folder, 'local.json');
		writeFileSync(settings, JSON.stringify({...world.settingsFile(), platform: {address: new URL(store.url).host}}));
		child = spawn(process.execPath, [...platformNodeFlags(), buildPlatformProgram(folder)], {env: {...process.env, FIREFLYPORT_CONFIG: settings}});
		const exited = once(child, 'exit');
		let output = '';
		child.stdout!.on('data', chunk => {
			output += String(chunk);
		});
		child.stderr!.on('data', chunk => {
			output += String(chunk);
		});
		await waitUntil(() => output.includes('server=i-1') && waiting.length >= 3, 10_000);
		expect(await world.statusOf('/look/x')).toBe(200);
		putOdd('watched');
		put('config', 'main', JSON.stringify(platformConfiguration(4)));
		answerWatches();
		await waitUntil(() => /event=configuration .*version=4 /v.test(output) && output.includes('watched'), 10_000);
		expect(await world.statusOf('/look/x')).toBe(200);
		expect(child.exitCode).toBeNull();
		expect(output).not.toMatch(/event=(?:unexpected_error|feed_failed|registry_failed|store_lost)/v);
		child.kill('SIGTERM');
		expect(await exited).toEqual([0, null]);
	});
});
