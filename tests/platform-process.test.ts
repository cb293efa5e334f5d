import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {request} from 'undici';
import {
	afterAll, afterEach, beforeAll, beforeEach, describe, expect, it,
} from 'vitest';
import {buildPlatformProgram} from '../testing/platform-program.js';
import {waitUntil} from './fixtures/http.js';
import {
	platformConfiguration, eventStreamBody, GatewayFixture, promptHeaders,
} from './fixtures/gateway-fixture.js';

let folder: string;
let program: string;
let world: GatewayFixture;
let child: ChildProcess | undefined;

beforeAll(() => {
	folder = mkdtempSync(path.join(tmpdir(), 'fireflyport-'));
	program = buildPlatformProgram(folder);
});

afterAll(() => {
	rmSync(folder, {recursive: true});
});

beforeEach(async () => {
	world = await GatewayFixture.create();
	world.store.put('config', 'main', platformConfiguration(3));
});

afterEach(async () => {
	child?.kill('SIGKILL');
	await world.close();
});

function startProgram(settings: unknown): {readonly child: ChildProcess; readonly output: () => string} {
	const file = path.join(folder, 'local.json');
	writeFileSync(file, JSON.stringify(settings));
	const chunks: string[] = [];
	const recordOutput = (chunk: Uint8Array) => {
		chunks.push(String(chunk));
	};

	child = spawn(process.execPath, [program], {env: {...process.env, FIREFLYPORT_CONFIG: file}});
	child.stdout!.on('data', recordOutput);
	child.stderr!.on('data', recordOutput);
	return {child, output: () => chunks.join('')};
}

describe('platform program', () => {
	it('should exit with code 2 and name the invalid field', async () => {
		const started = startProgram({...world.settingsFile(), ip: 'here'});
		const [code] = await once(started.child, 'close') as [number];
		expect(code).toBe(2);
		expect(started.output()).toContain('ip is "here"');
	});

	it('should register, serve requests and metrics, and complete a stream after SIGTERM before it exits with code 0', async () => {
		const server = await world.addServer('model', {instance: 'e-1', events: 15, paceMs: 100});
		const started = startProgram(world.settingsFile());
		await waitUntil(async () => {
			try {
				return await world.isReady();
			} catch {
				// Not listening yet.
				return false;
			}
		}, 10_000);
		expect(world.store.names('fireflyport-daemons')).toEqual(['127.0.0.1']);
		const stream = world.send('/chat/x', {headers: promptHeaders(1000)});
		await waitUntil(() => server.arrivals.length === 1);
		const exited = once(started.child, 'close');
		started.child.kill('SIGTERM');
		expect(await stream).toMatchObject({body: eventStreamBody(1, 15), isBroken: false});
		const {body} = await request(`http://127.0.0.1:${world.ports.metricsPort}/metrics`);
		const metrics = await body.text();
		expect(metrics).toContain('fireflyport_requests_total{service="model",outcome="delivered"} 1');
		expect(metrics).toContain('fireflyport_log_lines_dropped 0');
		expect(await exited).toEqual([0, null]);
		expect(started.output()).toContain('event=drained');
	});
});
