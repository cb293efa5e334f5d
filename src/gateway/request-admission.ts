/** Matches requests to routes, services and ranks of one configuration, or says why they are refused. */
import {requestRank} from '../scheduling/request-rank.js';
import {failure, type Failure} from '../util/failure.js';
import {chooseWeighted} from '../util/weighted-choice.js';
import type {RoutedRequest} from './gateway-request.js';
import {OTHER_DAEMON_RETRY_MS} from './retry-advice.js';
import type {AccessResult, RouteTable} from './route-table.js';
import type {Route} from './serving-configuration.js';

export type AdmittedRequest = Pick<RoutedRequest, 'route' | 'service' | 'workspace' | 'workspaceKey' | 'rank' | 'urgency'>;

export const noConfigurationFailure = (): Failure => failure({
	code: 'not_ready', message: 'this daemon has no configuration yet', ran: 'not_run', step: 'admit', retryAfterMs: OTHER_DAEMON_RETRY_MS,
});

/** `newest` is a version by which another host handles requests. */
export const outdatedFailure = (version: number, newest: number): Failure => failure({
	code: 'not_ready', message: `configuration version ${version} is older than version ${newest} of another host`, ran: 'not_run', step: 'admit', retryAfterMs: OTHER_DAEMON_RETRY_MS,
});

/** `path` is without its query. */
export function findRoute(table: RouteTable, host: string, path: string): Route | Failure {
	return table.match(host, path) ?? failure({
		code: 'unknown_service', message: `no route matches ${path} in configuration version ${table.version}`, ran: 'not_run', step: 'admit',
	});
}

export function admitToRoute(table: RouteTable, route: Route, access: AccessResult, random: () => number): AdmittedRequest | Failure {
	if (access.kind === 'denied') {
		return failure({
			code: 'invalid_api_key', message: `unknown API key in configuration version ${table.version}`, ran: 'not_run', step: 'authenticate',
		});
	}

	const service = table.service(chooseWeighted(route.services, ({weight}) => weight, random())?.service ?? '');
	if (!service) {
		return failure({
			code: 'no_capacity', message: `route ${route.name} refers to an unknown service`, ran: 'not_run', step: 'admit', retryAfterMs: OTHER_DAEMON_RETRY_MS,
		});
	}

	const workspace = access.kind === 'workspace' ? access.workspace : undefined;
	const rank = requestRank(route, workspace);
	return {
		route, service, workspace, workspaceKey: workspace && table.workspaceKey(service, workspace), rank, urgency: table.urgency(service, rank),
	};
}
