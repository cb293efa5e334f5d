/** Calls that a pool coordinator makes directly to backend servers. */
import type {EngineListing} from '../backend/engine-protocol.js';
import type {CallOptions} from '../object-api/object-api.js';
import type {LoadReport} from './backend-server-state.js';

/** The backend server to call. `address` is IP:PORT. */
export type ProbeTarget = {
	readonly id: string;
	readonly address: string;
	readonly kind: 'model' | 'plain';
};

/** Each call rejects on a timeout or an error response. `listing`, `cancel` and `freeSegment` apply to engines only. */
export type BackendProbe = {
	health(target: ProbeTarget, options: CallOptions): Promise<{readonly boot: string; readonly warm: boolean}>;
	load(target: ProbeTarget, options: CallOptions): Promise<LoadReport>;
	listing(target: ProbeTarget, options: CallOptions): Promise<EngineListing>;
	cancel(target: ProbeTarget, streamId: string, options: CallOptions): Promise<void>;
	freeSegment(target: ProbeTarget, segmentId: string, options: CallOptions): Promise<void>;
};
