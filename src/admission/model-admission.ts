/** Decides what a model request is entitled to: service, length class, priority and deadline. */
import {Buffer} from 'node:buffer';
import type {ModelService, Workspace} from '../configuration/schema.js';
import {failure, type Failure} from '../util/failure.js';
import {estimateTokens, lengthClassOf, type LengthClass} from '../util/length-class.js';
import type {ConfigurationIndex} from './configuration-index.js';
import {deadlineOf} from './request-deadline.js';

/** Generated tokens allowed where the caller names no limit. */
export const DEFAULT_MAX_TOKENS = 1024;

/** A model request as parsed. */
export type ModelRequest = {
	readonly model: string;
	readonly prompt: string;
	readonly maxTokens: number | undefined;
	/** The caller's own time limit in ms. */
	readonly timeoutMs: number | undefined;
};

/** A request that may compete for capacity. */
export type AdmittedRequest = {
	readonly kind: 'admitted';
	readonly workspace: Workspace;
	readonly service: ModelService;
	readonly model: string;
	readonly prompt: string;
	readonly promptTokens: number;
	readonly maxTokens: number;
	readonly lengthClass: LengthClass;
	/** Rank of the priority class, 0 first. */
	readonly priority: number;
	/** Monotonic ms. */
	readonly arrivedAt: number;
	readonly deadline: number;
};

/** The service that offers the model to the workspace. */
function serviceOf(index: ConfigurationIndex, workspace: Workspace, model: string): ModelService | Failure {
	const offering = index.servicesOfModel(model);
	const allowed = offering.find(service => workspace.services.includes(service.name));
	if (allowed) {
		return allowed;
	}

	return offering.length === 0
		? failure({
			code: 'unknown_service', message: `no service offers the model ${JSON.stringify(model)}; GET /v1/models lists those of this workspace`, ran: 'not_run', step: 'admit', param: 'model',
		})
		: failure({
			code: 'service_not_allowed', message: `workspace ${workspace.name} may not use the model ${JSON.stringify(model)}`, ran: 'not_run', step: 'admit', param: 'model',
		});
}

/** Admits a request that arrived at `now` (monotonic ms), or says why not. */
export function admitModelRequest(index: ConfigurationIndex, workspace: Workspace, request: ModelRequest, now: number): AdmittedRequest | Failure {
	const service = serviceOf(index, workspace, request.model);
	if (service.kind === 'failure') {
		return service;
	}

	const maxTokens = request.maxTokens ?? Math.min(DEFAULT_MAX_TOKENS, service.kvTokens);
	if (maxTokens > service.kvTokens) {
		return failure({
			code: 'invalid_request', message: `max_tokens is ${maxTokens}; service ${service.name} holds at most ${service.kvTokens} tokens`, ran: 'not_run', step: 'admit', param: 'max_tokens',
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
