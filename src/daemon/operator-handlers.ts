/** `/healthz`, `/readyz`, `/status` and `/levels`, for the balancer and for operators. They need no API key. */
import type {ConfigurationIndexes} from '../admission/configuration-index.js';
import type {Traffic} from '../util/traffic-meter.js';
import {sendJson} from '../http/error-response.js';
import type {CallHandler} from './call.js';
import type {Lifecycle} from './lifecycle.js';

/** Facts of this daemon for `/status`. */
export type DaemonStatus = {
	readonly id: string;
	readonly incarnation: string;
	/** Undefined before the first configuration arrived. */
	readonly configurationVersion: number | undefined;
	readonly draining: boolean;
	/** Pools that this daemon coordinates. */
	readonly pools: readonly string[];
	readonly openRequests: number;
	/** Bytes exchanged with peers, the object API and the host list. */
	readonly controlTraffic: Traffic;
};

/** Answers whether the process runs. */
export const handleHealth: CallHandler = async ({res}) => {
	sendJson(res, 200, {status: 'ok'});
	return undefined;
};

/** Answers whether the balancer may send new requests. */
export const createReadinessHandler = (indexes: ConfigurationIndexes, lifecycle: Lifecycle): CallHandler => async ({res}) => {
	const reasons = [
		...(indexes.current() ? [] : ['no configuration']),
		...(lifecycle.phase === 'serving' ? [] : ['draining']),
	];
	sendJson(res, reasons.length === 0 ? 200 : 503, {ready: reasons.length === 0, reasons});
	return undefined;
};

/** Answers with a JSON report that is made for each call. */
export const createReportHandler = (report: () => unknown): CallHandler => async ({res}) => {
	sendJson(res, 200, await report());
	return undefined;
};
