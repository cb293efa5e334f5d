/** What a coordinator asks backend servers directly. */
import type {EngineListing} from '../backend/engine-protocol.js';
import type {CallOptions} from '../object-api/object-api.js';
import type {LoadReport} from './backend-server-state.js';

/** A backend server to ask. `address` is IP:PORT. */
export type ProbeTarget = {
	readonly id: string;
	readonly address: string;
	readonly kind: 'model' | 'plain';
};

/** Calls reject when the server does not answer in time or with an error. `listing`, `cancel` and `freeSegment` are for engines only. */
export type BackendProbe = {
	health(target: ProbeTarget, options: CallOptions): Promise<{readonly boot: string; readonly warm: boolean}>;
	load(target: ProbeTarget, options: CallOptions): Promise<LoadReport>;
	listing(target: ProbeTarget, options: CallOptions): Promise<EngineListing>;
	cancel(target: ProbeTarget, streamId: string, options: CallOptions): Promise<void>;
	freeSegment(target: ProbeTarget, segmentId: string, options: CallOptions): Promise<void>;
};
