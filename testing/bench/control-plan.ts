/** The sizes at which `control-cost` measures, and the configuration and host list of each. */
import type {Configuration, FailureDomain, ModelService} from '../../src/configuration/schema.js';
import type {Host} from '../../src/object-api/host-list.js';
import {configuration as sacaria} from '../../examples/sacaria.js';
import type {BackendCrowd} from './backend-crowd.js';

/** One size of a deployment. Counts are those of the whole deployment. */
export type Size = {
	readonly daemons: number;
	/** Backend servers in the failure domains of the daemons, which poll them. */
	readonly servers: number;
	/** Further backend servers on the host list, in another region. */
	readonly listed: number;
	readonly workspaces: number;
	readonly models: number;
};

export const base: Size = {
	daemons: 6, servers: 24, listed: 0, workspaces: 10, models: 1,
};

/** A size with `value` in place of one of the base. Backend servers grow with the daemons, so that each polls as many as before. */
export const sizeAt = ({key}: Dimension, value: number): Size => key === 'daemons'
	? {...base, daemons: value, servers: value * base.servers / base.daemons}
	: {...base, [key]: value};

/** A dimension that grows while the others stay at {@link base}. */
export type Dimension = {
	readonly name: string;
	readonly key: keyof Size;
	readonly sizes: readonly number[];
	/** Value of the two-year scale, in the unit of `perSize`. */
	readonly target: number;
	/** Converts a size into the quantity of which the cost of one daemon depends. */
	readonly perSize: (size: number) => number;
	readonly unit: string;
};

const same = (size: number) => size;

/** One pool of four is what the design plans for a daemon at the two-year scale. */
export const dimensions: readonly Dimension[] = [
	{
		name: 'daemons', key: 'daemons', sizes: [3, 6, 12, 24], target: 75, perSize: same, unit: 'daemons in the region',
	},
	{
		name: 'backend servers', key: 'servers', sizes: [24, 48, 96, 192], target: 4, perSize: size => size / base.daemons, unit: 'polled by each daemon',
	},
	{
		name: 'listed hosts', key: 'listed', sizes: [0, 350, 700, 1400], target: 1400, perSize: same, unit: 'on the host list',
	},
	{
		name: 'workspaces', key: 'workspaces', sizes: [10, 100, 350, 700], target: 700, perSize: same, unit: 'workspaces',
	},
	{
		name: 'models', key: 'models', sizes: [1, 10, 19, 38], target: 38, perSize: same, unit: 'model services',
	},
];

const OTHER: FailureDomain = {name: 'elsewhere', region: 'elsewhere', state: 'in'};

/** Backend servers of one pool. */
const SERVERS_PER_POOL = 4;

/** Region of the daemons. */
export const DAEMON_REGION = sacaria.failureDomains[0]!.region;

const model = sacaria.services.find((service): service is ModelService => service.kind === 'model')!;
const domains = sacaria.failureDomains.map(({name}) => name);

/** The first model has pools of four in all failure domains; each further one has one pool in one of them. */
function modelsOf({models, servers}: Size): readonly ModelService[] {
	const poolShards = Math.max(1, Math.round(servers / SERVERS_PER_POOL / domains.length));
	const more = Array.from({length: models - 1}, (_, index): ModelService => ({
		...model,
		name: `model-${index}`,
		models: [{name: `model-${index}`, version: '1'}],
		failureDomains: [domains[index % domains.length]!],
		poolShards: 1,
	}));
	return [{...model, failureDomains: [...domains, OTHER.name], poolShards}, ...more];
}

export function configurationOf(size: Size): Configuration {
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
		failureDomains: [...sacaria.failureDomains, OTHER],
		services,
		workspaces,
		objectives: sacaria.objectives.filter(({service}) => service === model.name),
	};
}

/** Configuration of a deployment that starts: daemons are started in each of its failure domains, so the other region is left out. */
export function startConfigurationOf(size: Size): Configuration {
	const configuration = configurationOf(size);
	return {
		...configuration,
		failureDomains: sacaria.failureDomains,
		services: configuration.services.map(service => ({...service, failureDomains: service.failureDomains.filter(name => name !== OTHER.name)})),
	};
}

/** One host for each further model; the others are of the first. */
export function hostsOf(size: Size, crowd: BackendCrowd): readonly Host[] {
	return [
		...crowd.hosts(model.name, domains, size.servers),
		...modelsOf(size).slice(1).flatMap(({name, failureDomains}) => crowd.hosts(name, failureDomains, 1)),
		...crowd.hosts(model.name, [OTHER.name], size.listed).map(host => ({...host, id: `${host.id}-${OTHER.name}`})),
	];
}

/** The model that the low rate of requests names. */
export const requestedModel = model.models[0]!.name;
