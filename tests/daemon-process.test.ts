import {execFile} from 'node:child_process';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import process from 'node:process';
import OpenAI from 'openai';
import {
	afterEach, describe, expect, it, vi,
} from 'vitest';
import {Deployment} from '../testing/deployment.js';
import {expectedText} from '../testing/expected-token.js';
import {builtProgram} from '../testing/processes.js';
import {sampleConfiguration, sampleModelService} from './fixtures/configurations.js';
import {completeFlags} from './fixtures/settings.js';

let deployment: Deployment | undefined;

afterEach(async () => {
	await deployment?.close();
	deployment = undefined;
});

/** Runs the daemon until it exits. */
async function runDaemon(args: readonly string[]): Promise<{readonly code: unknown; readonly stdout: string; readonly stderr: string}> {
	return new Promise(resolve => {
		execFile(process.execPath, [builtProgram('src/daemon/main.js'), ...args], {timeout: 10_000}, (err, stdout, stderr) => {
			resolve({code: err?.code ?? 0, stdout, stderr});
		});
	});
}

/** A configuration with one failure domain and a fast service. */
const smallConfiguration = (() => {
	const configuration = sampleConfiguration();
	const service = {
		...sampleModelService, failureDomains: ['braga'], prefillTokensPerSecond: 200_000, decodeTokensPerSecond: 200,
	};
	const limits = {requestsPerSecond: 10_000, concurrentRequests: 1000, promptTokensPerMinute: 1_000_000_000};
	return {
		...configuration,
		failureDomains: configuration.failureDomains.filter(({name}) => name === 'braga'),
		services: [service],
		workspaces: configuration.workspaces.map(workspace => ({...workspace, services: ['fio-lm'], limits})),
	};
})();

describe('daemon process', () => {
	it('should exit with code 2 and name the invalid flag before it listens', async () => {
		const cases = [
			{args: [...completeFlags, '--statsd', 'metrics.example:8125'], message: /--statsd "metrics\.example:8125" is not accepted; accepted is IP:PORT/v},
			{args: [...completeFlags, '--drain-lg-ms', '1'], message: /unknown flag --drain-lg-ms/v},
			{args: [], message: /--listen \(or FIREFLYPORT_LISTEN\) is missing/v},
		];
		for (const {args, message} of cases) {
			const result = await runDaemon(args);
			expect(result.code).toBe(2);
			expect(result.stderr).toMatch(message);
			expect(result.stdout).not.toContain('listening');
		}
	});

	it('should exit with code 1 when its address is in use', async () => {
		const taken = createServer().listen(0, '127.0.0.1');
		await once(taken, 'listening');
		const {port} = taken.address() as AddressInfo;
		const result = await runDaemon([...completeFlags.slice(2), '--listen', `127.0.0.1:${port}`]);
		taken.close();
		expect(result.code).toBe(1);
		expect(result.stdout).toMatch(/event=start_failed .*EADDRINUSE/v);
	});

	it('should complete every request when daemons are stopped one after another under load', async () => {
		deployment = await Deployment.create({
			configuration: smallConfiguration, backendsPerDomain: 2, daemonsPerDomain: 3, startsWarm: true, drainLagMs: 300,
		});
		const {daemons} = deployment;
		const clients = daemons.map(daemon => ({daemon, openai: new OpenAI({baseURL: `${daemon.process.url}/v1`, apiKey: 'key-mills', maxRetries: 0})}));
		const stopLoad = new AbortController();
		const completed: string[] = [];
		const failures: unknown[] = [];
		// Acts as the load balancer, which sends requests only to daemons that are ready.
		const isReady = async (url: string): Promise<boolean> => {
			try {
				const answer = await fetch(`${url}/readyz`);
				return answer.ok;
			} catch {
				return false;
			}
		};

		const load = async (worker: number): Promise<void> => {
			for (let turn = worker; !stopLoad.signal.aborted && turn < worker + 500; turn++) {
				const {daemon, openai} = clients[turn % clients.length]!;
				if (!await isReady(daemon.process.url)) {
					continue;
				}

				const prompt = `worker ${worker} turn ${turn}`;
				try {
					const stream = await openai.completions.create({
						model: 'fio-lm', prompt, max_tokens: 60, stream: true,
					});
					let text = '';
					for await (const chunk of stream) {
						text += chunk.choices[0]!.text;
					}

					expect(text).toBe(expectedText(prompt, 60));
					completed.push(prompt);
				} catch (err) {
					failures.push(err);
				}
			}
		};

		const workers = Array.from({length: 12}, async (_, worker) => load(worker));
		const exits = [];
		for (const daemon of daemons.slice(0, 2)) {
			const before = completed.length;
			await vi.waitFor(() => {
				expect(completed.length).toBeGreaterThan(before + 20);
			}, {timeout: 15_000});
			exits.push(await daemon.process.stop());
		}

		stopLoad.abort();
		await Promise.all(workers);
		expect(failures).toEqual([]);
		expect(exits.map(({code}) => code)).toEqual([0, 0]);
	}, 60_000);
});
