/** Declarations of model and plain services. */
import type {ModelService, PlainRoute, PlainService} from '../configuration/schema.js';

/** What a service declares apart from its name. Without `failureDomains` it runs in all of the deployment. */
type Declared<T extends ModelService | PlainService, Defaults extends keyof T> =
	Omit<T, 'kind' | 'name' | 'failureDomains' | Defaults>
	& Partial<Pick<T, 'failureDomains' | Defaults>>;

/** A model service. `longPromptShare` is 0.5, `maxGangSize` 4 and `poolShards` 1 unless declared. */
export type ModelServiceDeclaration = Declared<ModelService, 'longPromptShare' | 'maxGangSize' | 'poolShards'>;

/** A plain service. `poolShards` is 1 unless declared. */
export type PlainServiceDeclaration = Declared<PlainService, 'poolShards'>;

/** A service whose name and default failure domains the deployment fills in. */
export type ServiceDeclaration = (name: string, allFailureDomains: readonly string[]) => ModelService | PlainService;

/** Declares a model service: a pool of engines in each of its failure domains. */
export const modelService = (declaration: ModelServiceDeclaration): ServiceDeclaration => (name, failureDomains) => ({
	kind: 'model', name, failureDomains, longPromptShare: 0.5, maxGangSize: 4, poolShards: 1, ...declaration,
});

/** Declares a plain service. Its routes are matched in order. */
export const plainService = (declaration: PlainServiceDeclaration): ServiceDeclaration => (name, failureDomains) => ({
	kind: 'plain', name, failureDomains, poolShards: 1, ...declaration,
});

type RouteOptions = {readonly timeoutMs: number};

/** A route that may be sent again after an unknown outcome. */
export const idempotentRoute = (method: PlainRoute['method'], pathPrefix: string, {timeoutMs}: RouteOptions): PlainRoute => ({
	method, pathPrefix, idempotent: true, timeoutMs,
});

/** A route that is sent at most once; callers give an `Idempotency-Key`. */
export const atMostOnceRoute = (method: PlainRoute['method'], pathPrefix: string, {timeoutMs}: RouteOptions): PlainRoute => ({
	method, pathPrefix, idempotent: false, timeoutMs,
});
