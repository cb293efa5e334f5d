/** Injects the faults of a scenario into a deployment. */
import type {Configuration} from '../../src/configuration/schema.js';
import type {Backend, Deployment} from '../deployment.js';
import {delay} from '../stand-ins/stand-in-server.js';
import type {DaemonRoster} from './daemon-roster.js';
import type {FaultBoard} from './fault-board.js';
import type {BackendReference, Fault} from './statement.js';
import type {Timeline} from './timeline.js';

/** Time that the load balancer keeps sending to a daemon after SIGTERM. */
const BALANCER_LAG_MS = 200;
const LATE_EFFECT_MS = 1500;

/** State that faults act on. `configuration` is replaced when a failure domain is taken out or brought back. */
export type Stage = {
	readonly deployment: Deployment;
	readonly board: FaultBoard;
	readonly roster: DaemonRoster;
	readonly timeline: Timeline;
	configuration: Configuration;
};

/** Finds a backend server by service kind, failure domain and number; throws an error that lists the known ids. */
export function findBackend({deployment}: Pick<Stage, 'deployment'>, kind: Backend['kind'], {domain, number}: BackendReference): Backend {
	const inDomain = deployment.backends.filter(backend => backend.kind === kind && backend.host.failureDomain === domain);
	const found = inDomain.find(({host}) => host.id.endsWith(`-${domain}-${number}`));
	if (!found) {
		throw new Error(`backend server ${number} of kind ${kind} does not exist in failure domain ${domain}; known ids: ${inDomain.map(({host}) => host.id).join(', ')}`);
	}

	return found;
}

/** Injects a fault; resolves when it has ended. */
export async function performFault(fault: Fault, stage: Stage): Promise<void> {
	const {deployment, board} = stage;
	switch (fault.kind) {
		case 'kill-daemon':
		case 'stop-daemon':
		case 'freeze-daemon':
		case 'start-daemon': {
			return performOnDaemon(fault, stage);
		}

		case 'object-api-outage': {
			return during(fault.forMs, await board.add(deployment.objectApi, {outage: 'refuse'}));
		}

		case 'object-api-slow': {
			return during(fault.forMs, await board.add(deployment.objectApi, {slowMs: fault.byMs}));
		}

		case 'object-api-loses-answers': {
			const lost = {mode: `${fault.effect}-effect`, share: fault.share, lateMs: LATE_EFFECT_MS};
			return during(fault.forMs, await board.add(deployment.objectApi, {lost}));
		}

		case 'object-api-unreachable': {
			const cutCallers = deployment.daemons.filter(({failureDomain}) => failureDomain === fault.domain).map(({id}) => id);
			return during(fault.forMs, await board.add(deployment.objectApi, {cutCallers}));
		}

		case 'engine-act': {
			return board.act(findBackend(stage, 'model', fault.engine).process, fault.act);
		}

		case 'engine-slow': {
			const {process} = findBackend(stage, 'model', fault.engine);
			return during(fault.forMs, await board.add(process, {slowFactor: fault.factor}));
		}

		case 'engine-leaves': {
			return deployment.markHost(findBackend(stage, 'model', fault.engine).host.id, 'leaving');
		}

		case 'service-act': {
			return board.act(findBackend(stage, 'plain', fault.service).process, fault.act);
		}

		case 'services-lose-answers': {
			const services = deployment.backends.filter(({kind}) => kind === 'plain');
			const ends = await Promise.all(services.map(async ({process}) => board.add(process, {loseResponses: true})));
			return during(fault.forMs, async () => {
				await Promise.all(ends.map(async end => end()));
			});
		}

		case 'domain-out':
		case 'domain-in': {
			return changeDomain(fault.domain, fault.kind === 'domain-out' ? 'out' : 'in', stage);
		}
	}
}

type DaemonFault = Extract<Fault, {readonly kind: `${string}-daemon`}>;

async function performOnDaemon(fault: DaemonFault, stage: Stage): Promise<void> {
	const {deployment, roster, timeline, configuration} = stage;
	switch (fault.kind) {
		case 'kill-daemon': {
			const {process} = roster.daemon(fault.daemon);
			roster.disturb(fault.daemon, timeline.now(), Number.POSITIVE_INFINITY);
			roster.remove(fault.daemon);
			process.kill('SIGKILL');
			await process.exited;
			return;
		}

		case 'stop-daemon': {
			const {process} = roster.daemon(fault.daemon);
			process.kill('SIGTERM');
			await delay(BALANCER_LAG_MS);
			roster.remove(fault.daemon);
			await process.exited;
			return;
		}

		case 'freeze-daemon': {
			const {process} = roster.daemon(fault.daemon);
			const frozenAt = timeline.now();
			roster.disturb(fault.daemon, frozenAt, frozenAt + fault.forMs);
			roster.remove(fault.daemon);
			process.kill('SIGSTOP');
			await delay(fault.forMs);
			process.kill('SIGCONT');
			roster.putBack(fault.daemon);
			return;
		}

		case 'start-daemon': {
			const domain = configuration.failureDomains.find(({name}) => name === fault.domain)!;
			await deployment.addDaemon(domain);
		}
	}
}

async function during(ms: number, end: () => Promise<void>): Promise<void> {
	await delay(ms);
	await end();
}

async function changeDomain(domain: string, state: 'in' | 'out', stage: Stage): Promise<void> {
	const {configuration, deployment} = stage;
	stage.configuration = {
		...configuration,
		failureDomains: configuration.failureDomains.map(entry => entry.name === domain ? {...entry, state} : entry),
	};
	await deployment.applyConfiguration(stage.configuration);
}
