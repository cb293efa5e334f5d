/** Indexes a version of the configuration for lookups by request handling. */
import {digestApiKey} from '../configuration/api-key.js';
import type {ConfigurationSource} from '../configuration/configuration-source.js';
import type {
	AcceptedConfiguration, ModelService, Objective, Service, Workspace,
} from '../configuration/schema.js';
import type {LengthClass} from '../util/length-class.js';

const objectiveKey = (service: string, lengthClass: LengthClass): string => `${service}/${lengthClass}`;

/** Constant-time lookups in one version of the configuration. */
export class ConfigurationIndex {
	static create(accepted: AcceptedConfiguration): ConfigurationIndex {
		return new ConfigurationIndex(accepted);
	}

	readonly #workspacesByKeyDigest = new Map<string, Workspace>();
	readonly #services: ReadonlyMap<string, Service>;
	readonly #servicesByModel = new Map<string, ModelService[]>();
	readonly #objectives: ReadonlyMap<string, Objective>;
	readonly #ranksByPriority: ReadonlyMap<string, number>;

	private constructor(readonly accepted: AcceptedConfiguration) {
		const {workspaces, services, objectives, priorities} = accepted.configuration;
		for (const workspace of workspaces) {
			for (const digest of workspace.apiKeyDigests) {
				this.#workspacesByKeyDigest.set(digest, workspace);
			}
		}

		this.#services = new Map(services.map(service => [service.name, service]));
		for (const service of services) {
			this.#indexModels(service);
		}

		this.#objectives = new Map(objectives.map(objective => [objectiveKey(objective.service, objective.lengthClass), objective]));
		this.#ranksByPriority = new Map(priorities.map(({name, rank}) => [name, rank]));
	}

	get version(): number {
		return this.accepted.version;
	}

	/** Returns the workspace that an API key belongs to. */
	workspaceOf(apiKey: string): Workspace | undefined {
		return this.#workspacesByKeyDigest.get(digestApiKey(apiKey));
	}

	service(name: string): Service | undefined {
		return this.#services.get(name);
	}

	/** Model services that serve a model, by its name. */
	servicesOfModel(model: string): readonly ModelService[] {
		return this.#servicesByModel.get(model) ?? [];
	}

	objective(service: string, lengthClass: LengthClass): Objective | undefined {
		return this.#objectives.get(objectiveKey(service, lengthClass));
	}

	/** Priority rank of a workspace's requests of one length class. Rank 0 is served first. */
	rank(workspace: Workspace, lengthClass: LengthClass): number {
		return this.#ranksByPriority.get(workspace.priorities[lengthClass]) ?? 0;
	}

	/** Model services that the workspace is allowed to use. */
	modelServicesOf(workspace: Workspace): readonly ModelService[] {
		const services = workspace.services.map(name => this.#services.get(name));
		return services.filter(service => service?.kind === 'model');
	}

	#indexModels(service: Service): void {
		if (service.kind !== 'model') {
			return;
		}

		for (const {name} of service.models) {
			const services = this.#servicesByModel.get(name) ?? [];
			services.push(service);
			this.#servicesByModel.set(name, services);
		}
	}
}

/** Caches the index of the current configuration and rebuilds it when the version changes. */
export class ConfigurationIndexes {
	static create(source: ConfigurationSource): ConfigurationIndexes {
		return new ConfigurationIndexes(source);
	}

	#index: ConfigurationIndex | undefined;

	private constructor(private readonly source: ConfigurationSource) {}

	/** Returns the index of the current configuration, or undefined until the first one has been received. */
	current(): ConfigurationIndex | undefined {
		const accepted = this.source.current();
		if (accepted && accepted.version !== this.#index?.version) {
			this.#index = ConfigurationIndex.create(accepted);
		}

		return this.#index;
	}
}
