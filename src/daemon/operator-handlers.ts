/** Handles `/healthz`, `/readyz`, `/status` and `/levels` for load balancers and operators. No API key is required. */
import type {ConfigurationIndexes} from '../admission/configuration-index.js';
import type {Traffic} from '../util/traffic-meter.js';
import {sendJson} from '../http/error-response.js';
import type {RequestHandler} from './request-context.js';
import type {Lifecycle} from './lifecycle.js';

/** State of this daemon as reported by `/status`. */
export type DaemonStatus = {
	readonly id: string;
	readonly incarnation: string;
	/** Undefined until the first configuration has arrived. */
	readonly configurationVersion: number | undefined;
	readonly draining: boolean;
	/** Pools that this daemon coordinates. */
	readonly pools: readonly string[];
	readonly openRequests: number;
	/** Bytes exchanged with peers, the object API and the host list. */
	readonly controlTraffic: Traffic;
};

/** Reports that the process is running. */
export const handleHealth: RequestHandler = async ({res}) => {
	sendJson(res, 200, {status: 'ok'});
	return undefined;
};

/** Creates the handler that reports whether the load balancer may send new requests. */
export const createReadinessHandler = (indexes: ConfigurationIndexes, lifecycle: Lifecycle): RequestHandler => async ({res}) => {
	const reasons = [
		...(indexes.current() ? [] : ['no configuration']),
		...(lifecycle.phase === 'serving' ? [] : ['draining']),
	];
	sendJson(res, reasons.length === 0 ? 200 : 503, {ready: reasons.length === 0, reasons});
	return undefined;
};

/** Creates a handler that responds with a JSON report generated for each request. */
export const createReportHandler = (report: () => unknown): RequestHandler => async ({res}) => {
	sendJson(res, 200, await report());
	return undefined;
};
