import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {runProgram} from '../src/cli/program.js';
import {CONFIGURATION_KEY, type Configuration} from '../src/configuration/schema.js';
import {ServiceLevels} from '../src/service-levels/service-levels.js';
import {sampleConfiguration, sampleWorkspace} from './fixtures/configurations.js';
import {HttpStandIn} from './fixtures/http-stand-in.js';
import {MemoryObjectApi} from './fixtures/memory-object-api.js';

const servers: HttpStandIn[] = [];

afterEach(async () => {
	await Promise.all(servers.splice(0).map(async server => server.close()));
});

/** Runs a command line with `api` as the object API. Every FILE that it reads has the content `file`. */
async function run(api: MemoryObjectApi, line: string, file: unknown = sampleConfiguration()) {
	const written = new Map<string, string>();
	const out: string[] = [];
	const errors: string[] = [];
	const exitCode = await runProgram(line.split(' '), {
		stdout: text => out.push(text),
		stderr: text => errors.push(text),
		isTerminal: false,
		environment: {FIREFLYPORT_OBJECT_API: 'http://object-api.test'},
		readInput: async () => typeof file === 'string' ? file : JSON.stringify(file),
		async writeOutput(name, text) {
			written.set(name, text);
		},
		openObjectApi: () => api,
	}, new AbortController().signal);
	return {
		exitCode, out: out.join('\n'), errors: errors.join('\n'), written,
	};
}

const jsonOf = (result: {readonly out: string}): unknown => JSON.parse(result.out);

function apiWithConfiguration(configuration: Configuration = sampleConfiguration()): MemoryObjectApi {
	const api = new MemoryObjectApi();
	api.put(CONFIGURATION_KEY, configuration);
	return api;
}

const withAddedWorkspace = sampleConfiguration({workspaces: ['mills', 'agents', 'growers'].map(name => sampleWorkspace(name))});
const withChangedWeight = sampleConfiguration({workspaces: [sampleWorkspace('mills', 5), sampleWorkspace('agents')]});
const storedConfiguration = (api: MemoryObjectApi) => api.get(CONFIGURATION_KEY)?.value;

describe('command line', () => {
	it.each([
		['config check - --dry-run', 'unknown flag --dry-run'],
		['status --no-color', 'unknown flag --no-color'],
		['config aply -', 'no command config aply'],
		['config apply', 'missing required args'],
		['config apply - --based-on x', '--based-on "x" is not a version number'],
		['domain out braga --force --force', '--force is given more than once'],
		['config show --object-api ftp://x', 'ftp://x, is not of the form http://HOST:PORT'],
	])('should refuse "%s" with exit code 2 and describe the error', async (line, message) => {
		const api = apiWithConfiguration();
		const result = await run(api, line);
		expect(result).toMatchObject({exitCode: 2, out: ''});
		expect(result.errors).toContain(message);
		expect(api.calls.write).toBe(0);
	});

	it('should refuse an invalid file, list all findings and write nothing', async () => {
		const api = apiWithConfiguration();
		const file = sampleConfiguration({objectives: [{...sampleConfiguration().objectives[0]!, service: 'loom'}], workspaces: [sampleWorkspace('a'), sampleWorkspace('a')]});
		const result = await run(api, 'config apply -', file);
		expect(result.exitCode).toBe(3);
		for (const path of ['objectives[0].service', 'workspaces[1].name', 'workspaces[1].apiKeyDigests[0]']) {
			expect(result.errors).toContain(path);
		}

		expect(jsonOf(await run(api, 'config check - --json', file))).toMatchObject({kind: 'refused'});
		expect(await run(api, 'config check -', '{"formatVersion":')).toMatchObject({exitCode: 3});
		expect(api.calls.write).toBe(0);
	});
});

describe('config apply', () => {
	it('should create the first configuration, show it and report an equal one as unchanged', async () => {
		const api = new MemoryObjectApi();
		expect(await run(api, 'config apply -')).toMatchObject({exitCode: 0});
		expect(jsonOf(await run(api, 'config show'))).toEqual(sampleConfiguration());
		expect(jsonOf(await run(api, 'config apply - --json'))).toEqual({kind: 'unchanged', version: 1, keptOut: []});
		expect(jsonOf(await run(api, 'config diff - --json', withChangedWeight))).toEqual({
			version: 1, differences: [{path: 'workspaces.mills.weight', from: 1, to: 5}], keptOut: [],
		});
	});

	it('should not overwrite a competing change, and name its version and the differences', async () => {
		const api = apiWithConfiguration();
		api.beforeWrite = () => {
			api.put(CONFIGURATION_KEY, withChangedWeight);
		};

		const result = await run(api, 'config apply -', withAddedWorkspace);
		expect(result.exitCode).toBe(4);
		expect(result.out).toContain('based on version 1, but version 2 is in force');
		expect(result.out).toContain('workspaces.mills.weight: 5 -> 1');
		expect(result.out).toContain('workspaces.growers: absent -> ');
		expect(storedConfiguration(api)).toEqual(withChangedWeight);
	});

	it('should refuse a file that is based on an older version than the one in force', async () => {
		const api = apiWithConfiguration();
		api.put(CONFIGURATION_KEY, withChangedWeight);
		expect(jsonOf(await run(api, 'config apply - --based-on 1 --json', withAddedWorkspace))).toMatchObject({kind: 'conflict', basedOn: 1, version: 2});
		expect(api.calls.write).toBe(0);
		expect(await run(api, 'config apply - --based-on 2', withAddedWorkspace)).toMatchObject({exitCode: 0});
	});

	it('should detect that a write whose response was lost took effect', async () => {
		const api = apiWithConfiguration();
		api.writeFaults.push('lost_after');
		expect(jsonOf(await run(api, 'config apply - --json', withAddedWorkspace))).toEqual({
			kind: 'applied', version: 2, isResolved: true, keptOut: [],
		});
		expect(storedConfiguration(api)).toEqual(withAddedWorkspace);
	});

	it('should write again when a write whose response was lost did not take effect', async () => {
		const api = apiWithConfiguration();
		api.writeFaults.push('lost_before', 'rejected');
		expect(jsonOf(await run(api, 'config apply - --json', withAddedWorkspace))).toEqual({
			kind: 'applied', version: 2, isResolved: true, keptOut: [],
		});
		expect(storedConfiguration(api)).toEqual(withAddedWorkspace);
	});

	it('should report a conflict when a competing version follows a write whose response was lost', async () => {
		const api = apiWithConfiguration();
		api.writeFaults.push('lost_before');
		api.beforeWrite = () => {
			api.put(CONFIGURATION_KEY, withChangedWeight);
		};

		expect(jsonOf(await run(api, 'config apply - --json', withAddedWorkspace))).toMatchObject({kind: 'conflict', version: 2, isReplaced: true});
		expect(storedConfiguration(api)).toEqual(withChangedWeight);
	});

	it('should exit with different codes for a refused write and an unknown outcome', async () => {
		const api = apiWithConfiguration();
		api.writeFaults.push('rejected');
		expect(await run(api, 'config apply -', withAddedWorkspace)).toMatchObject({exitCode: 1});
		api.writeFaults.push(...Array.from({length: 6}, () => 'lost_before' as const));
		expect(await run(api, 'config apply -', withAddedWorkspace)).toMatchObject({exitCode: 5});
	});
});

describe('domain out and in', () => {
	const states = (api: MemoryObjectApi) => (storedConfiguration(api) as Configuration).failureDomains.map(({state}) => state);

	it('should preserve a competing change and resolve a lost response', async () => {
		const api = apiWithConfiguration();
		api.writeFaults.push('lost_after');
		expect(await run(api, 'domain out braga')).toMatchObject({out: expect.stringContaining('failure domain braga is out from version 2') as string});
		api.beforeWrite = () => {
			api.put(CONFIGURATION_KEY, {...withChangedWeight, failureDomains: (storedConfiguration(api) as Configuration).failureDomains});
		};

		expect(await run(api, 'domain in braga')).toMatchObject({exitCode: 0});
		expect(states(api)).toEqual(['in', 'in', 'in']);
		expect((storedConfiguration(api) as Configuration).workspaces).toEqual(withChangedWeight.workspaces);
		expect(await run(api, 'domain in braga')).toMatchObject({out: expect.stringContaining('is in already') as string});
	});

	it('should keep a failure domain out when an applied file has it in, unless --take-in is given', async () => {
		const api = apiWithConfiguration();
		await run(api, 'domain out braga');
		expect(jsonOf(await run(api, 'config apply - --json', withAddedWorkspace))).toMatchObject({kind: 'applied', keptOut: ['braga']});
		expect(storedConfiguration(api)).toMatchObject({workspaces: withAddedWorkspace.workspaces});
		expect(states(api)).toEqual(['in', 'in', 'out']);
		expect(await run(api, 'config apply - --take-in', withAddedWorkspace)).toMatchObject({exitCode: 0});
		expect(states(api)).toEqual(['in', 'in', 'in']);
	});

	it('should refuse to take out the last failure domain of a service unless forced', async () => {
		const api = apiWithConfiguration();
		const refused = await run(api, 'domain out guimaraes');
		expect(refused.exitCode).toBe(3);
		expect(refused.errors).toContain('of balcao');
		expect(await run(api, 'domain out guimaraes --force')).toMatchObject({exitCode: 0});
		expect(states(api)).toEqual(['out', 'in', 'in']);
		expect(await run(api, 'domain out lisboa')).toMatchObject({errors: expect.stringContaining('choose one of guimaraes, famalicao, braga') as string});
	});
});

/** Registers two daemons in `api`: one that responds with the entry of `reports` for the path, and one that has stopped. */
async function startDaemons(api: MemoryObjectApi, reports: Readonly<Record<string, unknown>>): Promise<void> {
	const answer = (req: IncomingMessage, res: ServerResponse) => {
		res.end(JSON.stringify(reports[req.url!]));
	};

	const [running, stopped] = [await HttpStandIn.start(answer), await HttpStandIn.start(answer)];
	servers.push(running);
	await stopped.close();
	for (const [id, {url}] of Object.entries({a: running, b: stopped})) {
		const address = url.replace('http://', '');
		api.put(`members/pt-norte/braga/${id}`, {
			id, incarnation: '1', peerAddress: address, address, region: 'pt-norte', failureDomain: 'braga', renewal: 1, draining: false,
		});
	}
}

describe('status', () => {
	it('should show each daemon and name those that did not answer', async () => {
		const api = apiWithConfiguration();
		await startDaemons(api, {
			'/status': {
				configurationVersion: 1, draining: true, pools: ['braga/fio-lm/0'], openRequests: 3,
			},
		});
		const result = await run(api, 'status');
		expect(result.exitCode).toBe(6);
		expect(result.out).toContain('version 1 is stored, 1 of 2 daemons answered');
		expect(result.out).toContain('version 1; 3 open requests; coordinates braga/fio-lm/0; draining');
		expect(result.out).toMatch(/b .*did not answer: connect ECONNREFUSED/v);
	});
});

describe('report burn', () => {
	it('should show the causes of budget burn and the missing data, as text and as a self-contained escaped HTML file', async () => {
		const api = apiWithConfiguration();
		const [objective] = sampleConfiguration().objectives;
		const levels = ServiceLevels.create({daemon: 'a', objectiveOf: () => objective, nowMs: 0});
		for (const firstTokenMs of [100, 900]) {
			levels.record({
				service: 'fio-lm', workspace: '<mills>', lengthClass: 'short', outcome: 'finished', firstTokenMs, betweenTokensMs: 50, totalMs: 2000,
			}, 1000);
		}

		await startDaemons(api, {'/levels': levels.report(2000)});
		const result = await run(api, 'report burn');
		expect(result.exitCode).toBe(6);
		expect(result.out).toContain('1 of 2 daemons answered; the data of 50.0% of them is missing.');
		expect(result.out).toContain('Did not answer: b (braga');
		expect(result.out).toContain('fio-lm, short prompts  [ticket]');
		expect(result.out).toContain('burn rate 10.00 (1 of 2 missed)');
		expect(result.out).toContain('burned by cause: first_token 1');
		const {written} = await run(api, 'report burn --html levels.html');
		expect(written.get('levels.html')).toContain('Burned by workspace: &lt;mills&gt; 1');
		expect(written.get('levels.html')).not.toMatch(/<mills>|src=|href=/v);
	});
});
