/** Looks up routes, services and workspaces in one version of the serving configuration. */
import {UrgencyScale} from '../scheduling/request-rank.js';
import {hash32} from '../util/uniform-hash.js';
import type {
	Route, Service, ServingConfiguration, Workspace,
} from './serving-configuration.js';

/** Result of checking an API key. */
export type AccessResult =
	| {readonly kind: 'workspace'; readonly workspace: Workspace}
	| {readonly kind: 'anonymous'}
	| {readonly kind: 'denied'};

export class RouteTable {
	static create(configuration: ServingConfiguration): RouteTable {
		return new RouteTable(configuration);
	}

	readonly #routes = new Map<string, Route[]>();
	readonly #services: ReadonlyMap<string, Service>;
	readonly #workspaces = new Map<string, Workspace>();
	readonly #urgencies: UrgencyScale;
	/** Keys of the workspaces by name; empty if there are not several. */
	readonly #workspaceKeys: ReadonlyMap<string, number>;

	private constructor(readonly configuration: ServingConfiguration) {
		for (const route of configuration.routes) {
			const routes = this.#routes.get(route.host) ?? [];
			routes.push(route);
			this.#routes.set(route.host, routes);
		}

		for (const routes of this.#routes.values()) {
			// The longest matching prefix takes precedence, so it is checked first.
			routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
		}

		this.#urgencies = UrgencyScale.create(configuration);
		this.#services = new Map(configuration.services.map(service => [service.name, service]));
		const {workspaces = []} = configuration;
		this.#workspaceKeys = new Map((workspaces.length < 2 ? [] : workspaces).map(({name}) => [name, hash32(name)]));
		for (const workspace of workspaces) {
			for (const key of workspace.apiKeys) {
				this.#workspaces.set(key, workspace);
			}
		}
	}

	get version(): number {
		return this.configuration.version;
	}

	/** Returns the route of the host with the longest prefix of `path`. A port in `host` is ignored. */
	match(host: string, path: string): Route | undefined {
		const [name = ''] = host.toLowerCase().split(':');
		return this.#routes.get(name)?.find(route => path.startsWith(route.pathPrefix));
	}

	service(name: string): Service | undefined {
		return this.#services.get(name);
	}

	/** Urgency of a request of `rank`; undefined where it does not matter, and for services without engines, which do not read it. */
	urgency(service: Service, rank: number): number | undefined {
		return service.engine && this.#urgencies.urgency(service.name, rank);
	}

	/** Key of a workspace in messages about placements; undefined where there is no other to share the room of the service with. */
	workspaceKey(service: Service, {name}: Workspace): number | undefined {
		return service.engine && this.#workspaceKeys.get(name);
	}

	/** Checks the API key of a request to `route`. */
	checkAccess(route: Route, apiKey: string | undefined): AccessResult {
		const workspace = apiKey === undefined ? undefined : this.#workspaces.get(apiKey);
		if (workspace) {
			return {kind: 'workspace', workspace};
		}

		const requiresKey = this.configuration.workspaces !== undefined && !route.isAnonymous;
		return requiresKey ? {kind: 'denied'} : {kind: 'anonymous'};
	}
}
