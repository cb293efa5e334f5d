/** Injects the faults of a scenario into a deployment. */
import type {Configuration} from '../../src/configuration/schema.js';
import type {Backend, Deployment} from '../deployment.js';
import {delay} from '../stand-ins/stand-in-server.js';
import type {SimulatedBalancer} from './simulated-balancer.js';
import type {ActiveFaults} from './active-faults.js';
import type {BackendReference, Fault} from './statement.js';
import type {RunClock} from './run-clock.js';

/** Time that the load balancer keeps sending to a daemon after SIGTERM. */
const BALANCER_LAG_MS = 200;
/** Delay after which a write whose answer was lost takes effect, for the `late` effect. */
const LATE_EFFECT_MS = 1500;

/** State that faults act on. `configuration` is replaced when a failure domain is taken out or brought back. */
export type FaultContext = {
	readonly deployment: Deployment;
	readonly activeFaults: ActiveFaults;
	readonly balancer: SimulatedBalancer;
	readonly clock: RunClock;
	configuration: Configuration;
};

/** Finds a backend server by service kind, failure domain and number; throws an error that lists the known ids. */
export function findBackend({deployment}: Pick<FaultContext, 'deployment'>, kind: Backend['kind'], {domain, number}: BackendReference): Backend {
	const inDomain = deployment.backends.filter(backend => backend.kind === kind && backend.host.failureDomain === domain);
	const found = inDomain.find(({host}) => host.id.endsWith(`-${domain}-${number}`));
	if (!found) {
		throw new Error(`backend server ${number} of kind ${kind} does not exist in failure domain ${domain}; known ids: ${inDomain.map(({host}) => host.id).join(', ')}`);
	}

	return found;
}

/** Injects a fault; resolves when it has ended. */
export async function performFault(fault: Fault, context: FaultContext): Promise<void> {
	const {deployment, activeFaults} = context;
	switch (fault.kind) {
		case 'kill-daemon':
		case 'stop-daemon':
		case 'freeze-daemon':
		case 'start-daemon': {
			return performDaemonFault(fault, context);
		}

		case 'object-api-outage': {
			return endAfter(fault.forMs, await activeFaults.add(deployment.objectApi, {outage: 'refuse'}));
		}

		case 'object-api-slow': {
			return endAfter(fault.forMs, await activeFaults.add(deployment.objectApi, {slowMs: fault.byMs}));
		}

		case 'object-api-loses-answers': {
			const lost = {mode: `${fault.effect}-effect`, share: fault.share, lateMs: LATE_EFFECT_MS};
			return endAfter(fault.forMs, await activeFaults.add(deployment.objectApi, {lost}));
		}

		case 'object-api-unreachable': {
			const cutCallers = deployment.daemons.filter(({failureDomain}) => failureDomain === fault.domain).map(({id}) => id);
			return endAfter(fault.forMs, await activeFaults.add(deployment.objectApi, {cutCallers}));
		}

		case 'engine-act': {
			return activeFaults.trigger(findBackend(context, 'model', fault.engine).process, fault.act);
		}

		case 'engine-slow': {
			const {process} = findBackend(context, 'model', fault.engine);
			return endAfter(fault.forMs, await activeFaults.add(process, {slowFactor: fault.factor}));
		}

		case 'engine-leaves': {
			return deployment.setHostState(findBackend(context, 'model', fault.engine).host.id, 'leaving');
		}

		case 'service-act': {
			return activeFaults.trigger(findBackend(context, 'plain', fault.service).process, fault.act);
		}

		case 'services-lose-answers': {
			const services = deployment.backends.filter(({kind}) => kind === 'plain');
			const endFunctions = await Promise.all(services.map(async ({process}) => activeFaults.add(process, {loseResponses: true})));
			return endAfter(fault.forMs, async () => {
				await Promise.all(endFunctions.map(async end => end()));
			});
		}

		case 'domain-out':
		case 'domain-in': {
			return changeDomain(fault.domain, fault.kind === 'domain-out' ? 'out' : 'in', context);
		}
	}
}

type DaemonFault = Extract<Fault, {readonly kind: `${string}-daemon`}>;

async function performDaemonFault(fault: DaemonFault, context: FaultContext): Promise<void> {
	const {deployment, balancer, clock, configuration} = context;
	switch (fault.kind) {
		case 'kill-daemon': {
			const {process} = balancer.daemonById(fault.daemon);
			balancer.recordOutage(fault.daemon, clock.now(), Number.POSITIVE_INFINITY);
			balancer.remove(fault.daemon);
			process.kill('SIGKILL');
			await process.exited;
			return;
		}

		case 'stop-daemon': {
			const {process} = balancer.daemonById(fault.daemon);
			process.kill('SIGTERM');
			await delay(BALANCER_LAG_MS);
			balancer.remove(fault.daemon);
			await process.exited;
			return;
		}

		case 'freeze-daemon': {
			const {process} = balancer.daemonById(fault.daemon);
			const frozenAt = clock.now();
			balancer.recordOutage(fault.daemon, frozenAt, frozenAt + fault.forMs);
			balancer.remove(fault.daemon);
			process.kill('SIGSTOP');
			await delay(fault.forMs);
			process.kill('SIGCONT');
			balancer.restore(fault.daemon);
			return;
		}

		case 'start-daemon': {
			const domain = configuration.failureDomains.find(({name}) => name === fault.domain)!;
			await deployment.addDaemon(domain);
		}
	}
}

async function endAfter(ms: number, end: () => Promise<void>): Promise<void> {
	await delay(ms);
	await end();
}

async function changeDomain(domain: string, state: 'in' | 'out', context: FaultContext): Promise<void> {
	const {configuration, deployment} = context;
	context.configuration = {
		...configuration,
		failureDomains: configuration.failureDomains.map(entry => entry.name === domain ? {...entry, state} : entry),
	};
	await deployment.applyConfiguration(context.configuration);
}
