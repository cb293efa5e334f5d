/** Builds and validates the configuration of a declared deployment. */
import {checkConfiguration} from '../configuration/check-configuration.js';
import type {Configuration, Objective, Workspace} from '../configuration/schema.js';
import type {LengthClass} from '../util/length-class.js';
import {DeclarationError, toFault, type DeclarationFault} from './declaration-error.js';
import type {ServiceDeclaration} from './services.js';

const HOUR_MS = 3_600_000;
const DEFAULT_RETENTION_MS = 24 * HOUR_MS;
const DEFAULT_CLAIM_PARTITIONS = 8;

/** Latency limits in ms, and the target share of requests, for one length class of a service. */
export type ObjectiveDeclaration = Omit<Objective, 'service' | 'lengthClass'>;

export type DeploymentDeclaration = {
	readonly name: string;
	/** Names of the failure domains by region. */
	readonly regions: Readonly<Record<string, readonly string[]>>;
	/** Names of the failure domains in state `out`. */
	readonly out?: readonly string[];
	/** Names of the priority classes, highest priority first. */
	readonly priorities: readonly string[];
	readonly services: Readonly<Record<string, ServiceDeclaration>>;
	/** Service-level objectives by service and length class. */
	readonly objectives: Readonly<Record<string, Partial<Readonly<Record<LengthClass, ObjectiveDeclaration>>>>>;
	/** Workspaces, usually built with {@link branches}. */
	readonly workspaces: readonly Workspace[];
	/** Claims of non-idempotent operations. By default, they are retained for 24 h in 8 partitions. */
	readonly claims?: Partial<Configuration['claims']>;
	readonly weightStore: Configuration['weightStore'];
};

/** Builds and validates the configuration. Throws a {@link DeclarationError} that names every invalid item and field. */
export function deployment(declaration: DeploymentDeclaration): Configuration {
	const configuration = buildConfiguration(declaration);
	// Operators take failure domains out while the system runs, so services without a domain in state `in` are accepted
	// here; `fireflyport config apply` refuses them without `--force`.
	const outcome = checkConfiguration(configuration, {allowUnserved: true});
	const findings = outcome.kind === 'refused' ? outcome.findings : [];
	const faults = [...findUnknownOut(declaration), ...findings.map(finding => toFault(finding, configuration))];
	if (outcome.kind === 'refused' || faults.length > 0) {
		throw new DeclarationError(declaration.name, faults);
	}

	return outcome.configuration;
}

function buildConfiguration(declaration: DeploymentDeclaration): Configuration {
	const allFailureDomains = Object.values(declaration.regions).flat();
	return {
		formatVersion: 1,
		deployment: declaration.name,
		failureDomains: buildFailureDomains(declaration),
		services: Object.entries(declaration.services).map(([name, declare]) => declare(name, allFailureDomains)),
		priorities: declaration.priorities.map((name, rank) => ({name, rank})),
		objectives: buildObjectives(declaration),
		workspaces: declaration.workspaces,
		claims: {retentionMs: DEFAULT_RETENTION_MS, partitions: DEFAULT_CLAIM_PARTITIONS, ...declaration.claims},
		weightStore: declaration.weightStore,
	};
}

function buildFailureDomains({regions, out = []}: DeploymentDeclaration): Configuration['failureDomains'] {
	return Object.entries(regions).flatMap(([region, failureDomains]) => failureDomains.map(name => ({
		name, region, state: out.includes(name) ? 'out' : 'in',
	})));
}

function buildObjectives({objectives}: DeploymentDeclaration): readonly Objective[] {
	return Object.entries(objectives).flatMap(([service, byClass]) => Object.entries(byClass).map(([lengthClass, objective]) => ({
		service, lengthClass: lengthClass as LengthClass, ...objective,
	})));
}

function findUnknownOut({regions, out = []}: DeploymentDeclaration): readonly DeclarationFault[] {
	const known = Object.values(regions).flat();
	return out.filter(name => !known.includes(name)).map(name => ({
		item: 'deployment', field: 'out', value: name, rule: `unknown failure domain; known: ${known.join(', ')}`,
	}));
}
