/** Lookups in one version of the configuration, built once for each version. */
import {digestApiKey} from '../configuration/api-key.js';
import type {ConfigurationSource} from '../configuration/configuration-source.js';
import type {
	AcceptedConfiguration, ModelService, Objective, Service, Workspace,
} from '../configuration/schema.js';
import type {LengthClass} from '../util/length-class.js';

const objectiveKey = (service: string, lengthClass: LengthClass): string => `${service}/${lengthClass}`;

/** Constant-time lookups in one configuration. */
export class ConfigurationIndex {
	static create(accepted: AcceptedConfiguration): ConfigurationIndex {
		return new ConfigurationIndex(accepted);
	}

	readonly #workspaces = new Map<string, Workspace>();
	readonly #services: ReadonlyMap<string, Service>;
	readonly #models = new Map<string, ModelService[]>();
	readonly #objectives: ReadonlyMap<string, Objective>;
	readonly #ranks: ReadonlyMap<string, number>;

	private constructor(readonly accepted: AcceptedConfiguration) {
		const {workspaces, services, objectives, priorities} = accepted.configuration;
		for (const workspace of workspaces) {
			for (const digest of workspace.apiKeyDigests) {
				this.#workspaces.set(digest, workspace);
			}
		}

		this.#services = new Map(services.map(service => [service.name, service]));
		for (const service of services) {
			this.#addModels(service);
		}

		this.#objectives = new Map(objectives.map(objective => [objectiveKey(objective.service, objective.lengthClass), objective]));
		this.#ranks = new Map(priorities.map(({name, rank}) => [name, rank]));
	}

	get version(): number {
		return this.accepted.version;
	}

	/** The workspace of an API key. */
	workspaceOf(apiKey: string): Workspace | undefined {
		return this.#workspaces.get(digestApiKey(apiKey));
	}

	service(name: string): Service | undefined {
		return this.#services.get(name);
	}

	/** Services that offer a model name. */
	servicesOfModel(model: string): readonly ModelService[] {
		return this.#models.get(model) ?? [];
	}

	objective(service: string, lengthClass: LengthClass): Objective | undefined {
		return this.#objectives.get(objectiveKey(service, lengthClass));
	}

	/** Rank of a workspace's requests of one length class, 0 first. */
	rank(workspace: Workspace, lengthClass: LengthClass): number {
		return this.#ranks.get(workspace.priorities[lengthClass]) ?? 0;
	}

	/** Model services that a workspace may use. */
	modelServicesOf(workspace: Workspace): readonly ModelService[] {
		const services = workspace.services.map(name => this.#services.get(name));
		return services.filter(service => service?.kind === 'model');
	}

	#addModels(service: Service): void {
		if (service.kind !== 'model') {
			return;
		}

		for (const {name} of service.models) {
			const services = this.#models.get(name) ?? [];
			services.push(service);
			this.#models.set(name, services);
		}
	}
}

/** Keeps the index of the configuration in force. */
export class ConfigurationIndexes {
	static create(source: ConfigurationSource): ConfigurationIndexes {
		return new ConfigurationIndexes(source);
	}

	#index: ConfigurationIndex | undefined;

	private constructor(private readonly source: ConfigurationSource) {}

	/** The index of the configuration in force, or undefined before the first one arrived. */
	current(): ConfigurationIndex | undefined {
		const accepted = this.source.current();
		if (accepted && accepted.version !== this.#index?.version) {
			this.#index = ConfigurationIndex.create(accepted);
		}

		return this.#index;
	}
}
