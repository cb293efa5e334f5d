/**
 * Operator library: declare a deployment in TypeScript and print its configuration.
 *
 * @example
 * print(deployment({name: 'sacaria', regions: {'pt-norte': ['braga']}, ...}));
 */
export {digestApiKey} from '../configuration/api-key.js';
export type {
	Configuration, ModelService, Objective, PlainRoute, PlainService, Workspace, WorkspaceLimits,
} from '../configuration/schema.js';
export {
	branches, type Branch, type LimitException, type SharedRules,
} from './branches.js';
export {DeclarationError, type DeclarationFault} from './declaration-error.js';
export {deployment, type DeploymentDeclaration, type ObjectiveDeclaration} from './deployment.js';
export {print, printWhenRun} from './print.js';
export {
	atMostOnceRoute, idempotentRoute, modelService, plainService, type ModelServiceDeclaration, type PlainServiceDeclaration, type ServiceDeclaration,
} from './services.js';
