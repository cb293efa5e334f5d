/** Starts the program of the deploy file as a process, with settings like those of a small deployment. */
import {spawn} from 'node:child_process';
import {
	closeSync, openSync, readFileSync, writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';

const root = path.resolve(import.meta.dirname, '../..');
const READY_TIMEOUT_MS = 15_000;

/** Bounds of the site ave-sacos. */
export const BOUNDS = JSON.parse(readFileSync(path.join(import.meta.dirname, 'bounds.json'), 'utf8'));

/** The words of the `run` line of the deploy file. */
function runLine() {
	const line = /^run = "(?<command>[^"]+)"$/mv.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8'));
	return line.groups.command.split(' ');
}

export class Daemon {
	#child;
	#exit;

	/** `ports` are `front`, `ready`, `peer` and `metrics`. */
	constructor({name, ip, zone, zones, ports, storeAddress, folder}) {
		this.name = name;
		this.ip = ip;
		this.zone = zone;
		this.front = `${ip}:${ports.front}`;
		this.ready = `${ip}:${ports.ready}`;
		this.logFile = path.join(folder, `${name}.log`);
		this.settingsFile = path.join(folder, `${name}.json`);
		writeFileSync(this.settingsFile, JSON.stringify({
			node: name,
			role: 'gateway',
			'machine-class': 'front',
			serves: ['front'],
			ip,
			zone,
			region: 'region',
			zones: Object.fromEntries(zones.map(each => [each, 'region'])),
			listen: {front: this.front, ready: this.ready},
			'internal-port-range': [ports.peer, ports.metrics],
			seeds: [],
			bootstrap: true,
			limits: {
				'cpu-share': 0.675, cores: 1, 'memory-mb': 350, 'fd-limit': 4100, 'link-mbps': 1000, 'disk-mb': 0,
			},
			'data-dir': null,
			discovery: 'platform',
			entry: 'vip',
			'heartbeat-ms': 1200,
			'fault-tolerance': {machines: 2, zones: 1, regions: 0},
			bounds: BOUNDS,
			platform: {
				address: storeAddress, form: 'objects', 'writes-per-s': 400, 'reads-per-s': 2000, 'history-s': 20, 'value-bytes': 1_048_576, 'ttl-min-ms': 1000,
			},
		}));
	}

	start() {
		const [command, ...words] = runLine();
		const log = openSync(this.logFile, 'a');
		const {PATH, HOME, LANG} = process.env;
		this.#child = spawn(command, words, {
			cwd: root, env: {
				PATH, HOME, LANG, FIREFLYPORT_CONFIG: this.settingsFile,
			}, stdio: ['ignore', log, log],
		});
		closeSync(log);
		this.#exit = new Promise(resolve => {
			this.#child.once('exit', resolve);
			this.#child.once('error', resolve);
		});
	}

	async waitUntilReady() {
		const endAt = performance.now() + READY_TIMEOUT_MS;
		while (await statusOf(`http://${this.ready}/-/ready`) !== 200) {
			if (performance.now() > endAt) {
				throw new Error(`${this.name} did not become ready; see ${this.logFile}`);
			}

			await delay(50);
		}
	}

	signal(name) {
		this.#child?.kill(name);
	}

	/** Ends the process if it runs. */
	async kill() {
		if (this.#child) {
			this.#child.kill('SIGKILL');
			await this.#exit;
		}
	}

	/** Whether the log has a line with all these texts. */
	hasLogged(...texts) {
		return readFileSync(this.logFile, 'utf8').split('\n').some(line => texts.every(text => line.includes(text)));
	}
}

async function statusOf(url) {
	return new Promise(resolve => {
		const req = get(url, {agent: false, timeout: 1000}, res => {
			res.resume();
			resolve(res.statusCode);
		});
		req.on('timeout', () => req.destroy());
		req.on('error', () => {
			resolve(undefined);
		});
	});
}
