/** Validates the references between the parts of a configuration that has passed the schema. */
import type {CheckOptions} from './check-configuration.js';
import type {Finding} from './finding.js';
import type {
	Configuration, ModelService, Objective, Service, Workspace,
} from './schema.js';

const namesOf = (items: ReadonlyArray<{readonly name: string}>): readonly string[] => items.map(item => item.name);

/** Returns all unknown references, duplicates and inconsistent limits. */
export function checkReferences(configuration: Configuration, options: CheckOptions): readonly Finding[] {
	return [
		...findDuplicates(namesOf(configuration.failureDomains), index => `failureDomains[${index}].name`),
		...findDuplicates(namesOf(configuration.services), index => `services[${index}].name`),
		...findDuplicates(namesOf(configuration.priorities), index => `priorities[${index}].name`),
		...findDuplicates(namesOf(configuration.workspaces), index => `workspaces[${index}].name`),
		...configuration.services.flatMap((service, index) => checkService(configuration, service, `services[${index}]`)),
		...checkModels(configuration),
		...checkObjectives(configuration),
		...configuration.workspaces.flatMap((workspace, index) => checkWorkspace(configuration, workspace, `workspaces[${index}]`)),
		...checkDigests(configuration.workspaces),
		...(options.allowUnserved ? [] : checkServiceAvailability(configuration)),
	];
}

function findDuplicates(values: readonly string[], pathOf: (index: number) => string): readonly Finding[] {
	const firstPaths = new Map<string, string>();
	const findings: Finding[] = [];
	for (const [index, value] of values.entries()) {
		const path = pathOf(index);
		const firstPath = firstPaths.get(value);
		if (firstPath === undefined) {
			firstPaths.set(value, path);
		} else {
			findings.push({path, value, rule: `already used at ${firstPath}`});
		}
	}

	return findings;
}

function findUnknown(values: readonly string[], known: readonly string[], itemType: string, pathOf: (index: number) => string): readonly Finding[] {
	return values.flatMap((value, index) => known.includes(value)
		? []
		: [{path: pathOf(index), value, rule: `unknown ${itemType}; known: ${known.join(', ')}`}]);
}

function checkService(configuration: Configuration, service: Service, path: string): readonly Finding[] {
	const pathOf = (index: number) => `${path}.failureDomains[${index}]`;
	return [
		...findUnknown(service.failureDomains, namesOf(configuration.failureDomains), 'failure domain', pathOf),
		...findDuplicates(service.failureDomains, pathOf),
		...checkColdLimits(service, path),
	];
}

function checkColdLimits(service: Service, path: string): readonly Finding[] {
	const warm = new Map<string, number>(Object.entries(service.warm));
	return Object.entries(service.cold)
		.filter(([field, value]) => value > warm.get(field)!)
		.map(([field, value]) => ({path: `${path}.cold.${field}`, value, rule: `must not exceed the warm limit, ${warm.get(field)}`}));
}

/** Model names must be unique across services, because a request selects its service by model name. */
function checkModels({services}: Configuration): readonly Finding[] {
	const models = services.flatMap((service, serviceIndex) => service.kind === 'model'
		? modelsOf(service).map((name, index) => ({name, path: `services[${serviceIndex}].models[${index}].name`}))
		: []);
	return findDuplicates(namesOf(models), index => models[index]!.path);
}

const modelsOf = (service: ModelService): readonly string[] => namesOf(service.models);

function checkObjectives({objectives, services}: Configuration): readonly Finding[] {
	const keyOf = (objective: Objective) => `${objective.service}/${objective.lengthClass}`;
	return [
		...findUnknown(objectives.map(objective => objective.service), namesOf(services), 'service', index => `objectives[${index}].service`),
		...findDuplicates(objectives.map(objective => keyOf(objective)), index => `objectives[${index}]`),
		...objectives.flatMap((objective, index) => objective.firstTokenMs > objective.totalMs
			? [{path: `objectives[${index}].firstTokenMs`, value: objective.firstTokenMs, rule: `must not exceed totalMs, ${objective.totalMs}`}]
			: []),
	];
}

function checkWorkspace(configuration: Configuration, workspace: Workspace, path: string): readonly Finding[] {
	const classes = Object.keys(workspace.priorities);
	const pathOf = (index: number) => `${path}.services[${index}]`;
	return [
		...findUnknown(workspace.services, namesOf(configuration.services), 'service', pathOf),
		...findDuplicates(workspace.services, pathOf),
		...findUnknown(Object.values(workspace.priorities), namesOf(configuration.priorities), 'priority', index => `${path}.priorities.${classes[index]}`),
	];
}

/** API key digests must be unique, because an API key identifies one workspace. */
function checkDigests(workspaces: readonly Workspace[]): readonly Finding[] {
	const digests = workspaces.flatMap((workspace, workspaceIndex) => workspace.apiKeyDigests.map((digest, index) => ({
		digest, path: `workspaces[${workspaceIndex}].apiKeyDigests[${index}]`,
	})));
	return findDuplicates(digests.map(({digest}) => digest), index => digests[index]!.path);
}

function checkServiceAvailability({failureDomains, services}: Configuration): readonly Finding[] {
	const domainsIn = new Set(namesOf(failureDomains.filter(domain => domain.state === 'in')));
	const findings: Finding[] = [];
	if (domainsIn.size === 0) {
		findings.push({path: 'failureDomains', value: failureDomains.map(domain => domain.state), rule: 'at least one failure domain must be in state "in"'});
	}

	for (const [index, service] of services.entries()) {
		if (!service.failureDomains.some(name => domainsIn.has(name))) {
			findings.push({path: `services[${index}].failureDomains`, value: service.failureDomains, rule: 'at least one of these failure domains must be in state "in"'});
		}
	}

	return findings;
}
