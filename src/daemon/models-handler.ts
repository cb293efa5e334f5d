/** Handles `GET /v1/models`, which lists the models that the client's workspace may use. */
import type {ConfigurationIndexes} from '../admission/configuration-index.js';
import {sendJson} from '../http/error-response.js';
import {authenticate, type RequestHandler} from './request-context.js';

/** Creates the handler of the model list. */
export function createModelsHandler(indexes: ConfigurationIndexes): RequestHandler {
	return async context => {
		const client = authenticate(context, indexes);
		if (client.kind === 'failure') {
			return client;
		}

		const data = client.index.modelServicesOf(client.workspace).flatMap(service => service.models.map(model => ({
			id: model.name, object: 'model', created: 0, owned_by: service.name,
		})));
		sendJson(context.res, 200, {object: 'list', data});
		return undefined;
	};
}
