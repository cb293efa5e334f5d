/** A small deployment: the store, the network between the daemons, and the daemons. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {Daemon} from './daemon.mjs';
import {PeerNetwork} from './peer-network.mjs';
import {findFreePort} from './ports.mjs';
import {Store} from './store.mjs';

export const ZONES = ['braga', 'famalicao', 'guimaraes'];
export const HOST = 'desk.example';

const FIRST_SUBNET = 20;

/** A configuration with one service, `desk`, that safe and unsafe routes lead to. */
export const configuration = (coldPerSecond = 0) => ({
	version: 1,
	routes: [
		route('look', 'safe', 2),
		route('book', 'unsafe', 1),
	],
	services: [{
		name: 'desk', 'health-path': '/health', 'max-connections': 434, protocol: 'h1', tls: false, 'warmup-s': 3, 'cold-per-s': coldPerSecond,
	}],
	limits: {
		'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
	},
});

const route = (name, kind, attempts) => ({
	name,
	host: HOST,
	'path-prefix': `/${name}/`,
	kind,
	'timeout-ms': 3000,
	'target-latency-ms': 300,
	priority: 1,
	service: 'desk',
	'max-attempts': attempts,
	anonymous: true,
	resumable: false,
	sticky: false,
});

export class Deployment {
	/** `show(kind, object, ip)` returns an object as the daemon at `ip` reads it. */
	static async create({daemons, config, show = (_kind, object) => object}) {
		const deployment = new Deployment();
		deployment.store.put('config', 'main', config);
		const ports = {};
		for (const name of ['front', 'ready', 'peer', 'metrics']) {
			ports[name] = await findFreePort();
		}

		const ips = Array.from({length: daemons}, (_, index) => `127.0.${FIRST_SUBNET + index}.1`);
		const network = await PeerNetwork.create(ips, ports.peer);
		deployment.network = network;
		for (const [index, ip] of ips.entries()) {
			const view = await deployment.store.openView((kind, object) => show(kind, kind === 'fireflyport-daemons' ? asSeenFrom(network, ip, object) : object, ip));
			deployment.views.push(view);
			deployment.daemons.push(new Daemon({
				name: `front-${index + 1}`, ip, zone: ZONES[index % ZONES.length], zones: ZONES, ports, storeAddress: view.address, folder: deployment.folder,
			}));
		}

		for (const signal of ['SIGINT', 'SIGTERM']) {
			process.once(signal, () => {
				for (const daemon of deployment.daemons) {
					daemon.signal('SIGKILL');
				}

				process.kill(process.pid, 'SIGKILL');
			});
		}

		return deployment;
	}

	store = new Store();
	daemons = [];
	views = [];
	folder = mkdtempSync(path.join(tmpdir(), 'fireflyport-review-'));
	network;

	async start() {
		for (const daemon of this.daemons) {
			daemon.start();
		}

		await Promise.all(this.daemons.map(async daemon => daemon.waitUntilReady()));
	}

	async close() {
		await Promise.all(this.daemons.map(async daemon => daemon.kill()));
		this.network?.close();
		await this.store.close();
		rmSync(this.folder, {recursive: true, force: true});
	}
}

/** The registration of a daemon with the address under which the daemon at `ip` sees it. */
function asSeenFrom(network, ip, object) {
	const {spec} = object;
	if (typeof spec?.address !== 'string' || !network.ips.includes(spec.address)) {
		return object;
	}

	const address = network.alias(ip, spec.address);
	return {...object, metadata: {...object.metadata, name: address}, spec: {...spec, address}};
}
