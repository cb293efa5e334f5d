/** Deployment sizes of the benchmark `control-cost`, with the configuration and host list of each. */
import type {Configuration, FailureDomain, ModelService} from '../../src/configuration/schema.js';
import type {Host} from '../../src/object-api/host-list.js';
import {configuration as sacaria} from '../../examples/sacaria.js';
import type {BackendStubs} from './backend-stubs.js';

/** Size of a deployment. Counts are totals for the whole deployment. */
export type DeploymentSize = {
	readonly daemons: number;
	/** Backend servers in the failure domains of the daemons, which poll them. */
	readonly servers: number;
	/** Additional backend servers on the host list, in another region. */
	readonly listed: number;
	readonly workspaces: number;
	readonly models: number;
};

export const baseSize: DeploymentSize = {
	daemons: 6, servers: 24, listed: 0, workspaces: 10, models: 1,
};

/** The base size with one dimension set to `value`. The number of backend servers grows with that of the daemons, so that each daemon polls as many as before. */
export const sizeAt = ({key}: Dimension, value: number): DeploymentSize => key === 'daemons'
	? {...baseSize, daemons: value, servers: value * baseSize.servers / baseSize.daemons}
	: {...baseSize, [key]: value};

/** A dimension that is varied while the others stay at {@link baseSize}. */
export type Dimension = {
	readonly name: string;
	readonly key: keyof DeploymentSize;
	readonly sizes: readonly number[];
	/** Planned value in two years, in the unit of `toCostFactor`. */
	readonly target: number;
	/** Converts a size into the quantity on which the cost of one daemon depends. */
	readonly toCostFactor: (size: number) => number;
	readonly unit: string;
};

const identity = (size: number) => size;

/** The targets are the planned scale in two years, at which a daemon has one pool of four backend servers. */
export const dimensions: readonly Dimension[] = [
	{
		name: 'daemons', key: 'daemons', sizes: [3, 6, 12, 24], target: 75, toCostFactor: identity, unit: 'daemons in the region',
	},
	{
		name: 'backend servers', key: 'servers', sizes: [24, 48, 96, 192], target: 4, toCostFactor: size => size / baseSize.daemons, unit: 'polled by each daemon',
	},
	{
		name: 'listed hosts', key: 'listed', sizes: [0, 350, 700, 1400], target: 1400, toCostFactor: identity, unit: 'on the host list',
	},
	{
		name: 'workspaces', key: 'workspaces', sizes: [10, 100, 350, 700], target: 700, toCostFactor: identity, unit: 'workspaces',
	},
	{
		name: 'models', key: 'models', sizes: [1, 10, 19, 38], target: 38, toCostFactor: identity, unit: 'model services',
	},
];

const REMOTE_DOMAIN: FailureDomain = {name: 'elsewhere', region: 'elsewhere', state: 'in'};

/** Backend servers per pool. */
const SERVERS_PER_POOL = 4;

/** Region of the daemons. */
export const DAEMON_REGION = sacaria.failureDomains[0]!.region;

const model = sacaria.services.find((service): service is ModelService => service.kind === 'model')!;
const domainNames = sacaria.failureDomains.map(({name}) => name);

/** The first model has pools of four in all failure domains; each further model has one pool in one failure domain. */
function modelsOf({models, servers}: DeploymentSize): readonly ModelService[] {
	const poolShards = Math.max(1, Math.round(servers / SERVERS_PER_POOL / domainNames.length));
	const furtherModels = Array.from({length: models - 1}, (_, index): ModelService => ({
		...model,
		name: `model-${index}`,
		models: [{name: `model-${index}`, version: '1'}],
		failureDomains: [domainNames[index % domainNames.length]!],
		poolShards: 1,
	}));
	return [{...model, failureDomains: [...domainNames, REMOTE_DOMAIN.name], poolShards}, ...furtherModels];
}

export function configurationOf(size: DeploymentSize): Configuration {
	const services = modelsOf(size);
	const limits = {requestsPerSecond: 1e6, concurrentRequests: 1_000_000, promptTokensPerMinute: 1_000_000_000_000};
	const [first] = sacaria.workspaces;
	const workspaces = Array.from({length: size.workspaces}, (_, index) => ({
		...first!,
		name: `workspace-${index}`,
		apiKeyDigests: index === 0 ? first!.apiKeyDigests : [index.toString(16).padStart(64, '0')],
		services: services.map(({name}) => name),
		limits,
	}));
	return {
		...sacaria,
		failureDomains: [...sacaria.failureDomains, REMOTE_DOMAIN],
		services,
		workspaces,
		objectives: sacaria.objectives.filter(({service}) => service === model.name),
	};
}

/** Configuration at the start of a deployment. It omits the other region, because daemons are started in each configured failure domain. */
export function initialConfigurationOf(size: DeploymentSize): Configuration {
	const configuration = configurationOf(size);
	return {
		...configuration,
		failureDomains: sacaria.failureDomains,
		services: configuration.services.map(service => ({...service, failureDomains: service.failureDomains.filter(name => name !== REMOTE_DOMAIN.name)})),
	};
}

/** One host for each further model; all other hosts serve the first model. */
export function hostsOf(size: DeploymentSize, stubs: BackendStubs): readonly Host[] {
	return [
		...stubs.hosts(model.name, domainNames, size.servers),
		...modelsOf(size).slice(1).flatMap(({name, failureDomains}) => stubs.hosts(name, failureDomains, 1)),
		...stubs.hosts(model.name, [REMOTE_DOMAIN.name], size.listed).map(host => ({...host, id: `${host.id}-${REMOTE_DOMAIN.name}`})),
	];
}

/** Model of the low-rate requests. */
export const requestedModel = model.models[0]!.name;
