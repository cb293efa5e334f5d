/** Declares model services and plain services. */
import type {ModelService, PlainRoute, PlainService} from '../configuration/schema.js';

/** The fields of a service other than its name. Without `failureDomains`, it runs in all failure domains of the deployment. */
type Declaration<T extends ModelService | PlainService, Defaults extends keyof T> =
	Omit<T, 'kind' | 'name' | 'failureDomains' | Defaults>
	& Partial<Pick<T, 'failureDomains' | Defaults>>;

/** A model service. Defaults: `longPromptShare` 0.5, `maxGangSize` 4, `poolShards` 1. */
export type ModelServiceDeclaration = Declaration<ModelService, 'longPromptShare' | 'maxGangSize' | 'poolShards'>;

/** A plain service. Default: `poolShards` 1. */
export type PlainServiceDeclaration = Declaration<PlainService, 'poolShards'>;

/** Builds a service with the name and the default failure domains that the deployment passes in. */
export type ServiceDeclaration = (name: string, allFailureDomains: readonly string[]) => ModelService | PlainService;

/** Declares a model service: a pool of engines in each of its failure domains. */
export const modelService = (declaration: ModelServiceDeclaration): ServiceDeclaration => (name, failureDomains) => ({
	kind: 'model', name, failureDomains, longPromptShare: 0.5, maxGangSize: 4, poolShards: 1, ...declaration,
});

/** Declares a plain service. Routes are matched in the order of declaration. */
export const plainService = (declaration: PlainServiceDeclaration): ServiceDeclaration => (name, failureDomains) => ({
	kind: 'plain', name, failureDomains, poolShards: 1, ...declaration,
});

type RouteOptions = {readonly timeoutMs: number};

/** Declares a route whose requests may be sent again when their outcome is unknown. */
export const idempotentRoute = (method: PlainRoute['method'], pathPrefix: string, {timeoutMs}: RouteOptions): PlainRoute => ({
	method, pathPrefix, idempotent: true, timeoutMs,
});

/** Declares a route whose requests are sent at most once; clients send an `Idempotency-Key` header. */
export const atMostOnceRoute = (method: PlainRoute['method'], pathPrefix: string, {timeoutMs}: RouteOptions): PlainRoute => ({
	method, pathPrefix, idempotent: false, timeoutMs,
});
