/** Lookups of one version of the serving configuration. */
import type {
	Route, Service, ServingConfiguration, Workspace,
} from './serving-configuration.js';

/** Outcome of the check of an API key. */
export type Access =
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

	private constructor(readonly configuration: ServingConfiguration) {
		for (const route of configuration.routes) {
			const routes = this.#routes.get(route.host) ?? [];
			routes.push(route);
			this.#routes.set(route.host, routes);
		}

		for (const routes of this.#routes.values()) {
			// The longest prefix wins, so it is looked at first.
			routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
		}

		this.#services = new Map(configuration.services.map(service => [service.name, service]));
		for (const workspace of configuration.workspaces ?? []) {
			for (const key of workspace.apiKeys) {
				this.#workspaces.set(key, workspace);
			}
		}
	}

	get version(): number {
		return this.configuration.version;
	}

	/** The route of the host with the longest prefix that begins `path`. A port in `host` is ignored. */
	match(host: string, path: string): Route | undefined {
		const [name = ''] = host.toLowerCase().split(':');
		return this.#routes.get(name)?.find(route => path.startsWith(route.pathPrefix));
	}

	service(name: string): Service | undefined {
		return this.#services.get(name);
	}

	/** Checks the key of a request to `route`. */
	access(route: Route, apiKey: string | undefined): Access {
		const workspace = apiKey === undefined ? undefined : this.#workspaces.get(apiKey);
		if (workspace) {
			return {kind: 'workspace', workspace};
		}

		const needsKey = this.configuration.workspaces !== undefined && !route.isAnonymous;
		return needsKey ? {kind: 'denied'} : {kind: 'anonymous'};
	}
}
