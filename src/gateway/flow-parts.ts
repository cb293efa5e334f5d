/** The parts of a daemon that the handling of requests uses. */
import type {LoadExchange} from '../fleet/load-exchange.js';
import type {ReadPace} from '../http/read-pace.js';
import type {ResponseBuffers} from '../forwarding/response-buffers.js';
import type {PromptQuarantine} from '../quarantine/prompt-quarantine.js';
import type {RequestRelay} from '../relaying/request-relay.js';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import type {RetryLimit} from '../util/retry-budget.js';
import type {Dispatcher} from './dispatcher.js';
import type {MemoryOrders} from './memory-reservation.js';
import type {RoomShares} from './room-shares.js';
import type {ChoiceParts} from './server-choice.js';
import type {WireFormat} from './wire-format.js';

export type FlowParts = ChoiceParts & {
	readonly wire: WireFormat;
	readonly loadExchange: Pick<LoadExchange, 'openPlacement' | 'startPlacement' | 'closePlacement' | 'broadcastLimit' | 'broadcastLost'>;
	readonly dispatcher: Dispatcher;
	/** Undefined if room is not shared between workspaces. */
	readonly roomShares?: RoomShares | undefined;
	readonly memoryOrders: MemoryOrders;
	readonly quarantine: PromptQuarantine;
	readonly relay: Pick<RequestRelay, 'isNeeded' | 'isPathDoubtful' | 'chooseAddress' | 'skip' | 'recordConfiguration' | 'requiredConfiguration' | 'recordConnected' | 'recordNotConnected'>;
	/** Memory of responses, shared by all requests of this daemon. */
	readonly buffers: ResponseBuffers;
	/** Work on responses, shared like their memory. */
	readonly readPace: ReadPace;
	readonly clock: Clock;
	/** The time at which events were read that were waiting together. */
	readonly turnClock: Clock;
	readonly logger: Logger;
	retryBudget(service: string): RetryLimit;
	/** Random number between 0 and 1. */
	random(): number;
};
