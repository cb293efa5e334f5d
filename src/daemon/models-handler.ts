/** Handles `GET /v1/models`, which lists the models that the client's workspace may use. */
import type {ConfigurationIndexes} from '../admission/configuration-index.js';
import {sendJson} from '../http/error-response.js';
import {authenticate, type CallHandler} from './call.js';

/** Creates the handler of the model list. */
export function createModelsHandler(indexes: ConfigurationIndexes): CallHandler {
	return async call => {
		const caller = authenticate(call, indexes);
		if (caller.kind === 'failure') {
			return caller;
		}

		const data = caller.index.modelServicesOf(caller.workspace).flatMap(service => service.models.map(model => ({
			id: model.name, object: 'model', created: 0, owned_by: service.name,
		})));
		sendJson(call.res, 200, {object: 'list', data});
		return undefined;
	};
}
