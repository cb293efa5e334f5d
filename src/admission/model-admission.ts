/** Checks whether a model request is allowed, and determines its service, length class, priority and deadline. */
import {Buffer} from 'node:buffer';
import type {ModelService, Workspace} from '../configuration/schema.js';
import {failure, type Failure} from '../util/failure.js';
import {estimateTokens, lengthClassOf, type LengthClass} from '../util/length-class.js';
import type {ConfigurationIndex} from './configuration-index.js';
import {deadlineOf} from './request-deadline.js';

/** Limit of generated tokens for requests that do not set one. */
export const DEFAULT_MAX_TOKENS = 1024;

/** A parsed model request. */
export type ModelRequest = {
	readonly model: string;
	readonly prompt: string;
	readonly maxTokens: number | undefined;
	/** Time limit in ms set by the caller. */
	readonly timeoutMs: number | undefined;
};

/** A request that has passed admission and may reserve capacity. */
export type AdmittedRequest = {
	readonly kind: 'admitted';
	readonly workspace: Workspace;
	readonly service: ModelService;
	readonly model: string;
	readonly prompt: string;
	readonly promptTokens: number;
	readonly maxTokens: number;
	readonly lengthClass: LengthClass;
	/** Rank of the priority class. Rank 0 is served first. */
	readonly priority: number;
	/** Monotonic ms, as is `deadline`. */
	readonly arrivedAt: number;
	readonly deadline: number;
};

/** Returns the service that serves the model to the workspace, or the failure for the caller. */
function findService(index: ConfigurationIndex, workspace: Workspace, model: string): ModelService | Failure {
	const candidates = index.servicesOfModel(model);
	const allowed = candidates.find(service => workspace.services.includes(service.name));
	if (allowed) {
		return allowed;
	}

	return candidates.length === 0
		? failure({
			code: 'unknown_service', message: `no service offers the model ${JSON.stringify(model)}; GET /v1/models lists the models of this workspace`, ran: 'not_run', step: 'admit', param: 'model',
		})
		: failure({
			code: 'service_not_allowed', message: `workspace ${workspace.name} may not use the model ${JSON.stringify(model)}`, ran: 'not_run', step: 'admit', param: 'model',
		});
}

/** Admits a request that arrived at `now` (monotonic ms), or returns the failure for the caller. */
export function admitModelRequest(index: ConfigurationIndex, workspace: Workspace, request: ModelRequest, now: number): AdmittedRequest | Failure {
	const service = findService(index, workspace, request.model);
	if (service.kind === 'failure') {
		return service;
	}

	const maxTokens = request.maxTokens ?? Math.min(DEFAULT_MAX_TOKENS, service.kvTokens);
	if (maxTokens > service.kvTokens) {
		return failure({
			code: 'invalid_request', message: `max_tokens is ${maxTokens}; service ${service.name} supports at most ${service.kvTokens} tokens`, ran: 'not_run', step: 'admit', param: 'max_tokens',
		});
	}

	const promptTokens = estimateTokens(Buffer.byteLength(request.prompt));
	const lengthClass = lengthClassOf(promptTokens);
	return {
		kind: 'admitted',
		workspace,
		service,
		model: request.model,
		prompt: request.prompt,
		promptTokens,
		maxTokens,
		lengthClass,
		priority: index.rank(workspace, lengthClass),
		arrivedAt: now,
		deadline: deadlineOf(now, index.objective(service.name, lengthClass)?.totalMs, request.timeoutMs),
	};
}
