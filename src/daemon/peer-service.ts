/** Dispatches the messages of other daemons to the components that handle them. */
import type {PoolService} from '../capacity/pool-coordinators.js';
import type {ConfigurationPollHandler} from '../configuration/configuration-poll-handler.js';
import type {ClaimRelay} from '../operations/claim-relay.js';
import type {PeerService} from '../peer/protocol.js';

export type PeerServiceDependencies = {
	readonly pools: PoolService;
	readonly polls: ConfigurationPollHandler;
	readonly relay: ClaimRelay;
	readonly levels: () => unknown;
};

/** Creates the service that the peer server exposes to other daemons. */
export const createPeerService = ({
	pools, polls, relay, levels,
}: PeerServiceDependencies): PeerService => ({
	reserve: async (message, signal) => pools.reserve(message, signal),
	acknowledge: async message => pools.acknowledge(message),
	release: async message => pools.release(message),
	keepAlive: async message => pools.keepAlive(message),
	stepDown: async message => pools.stepDown(message),
	promise: async message => pools.promise(message),
	configuration: async (message, signal) => polls.answer(message, signal),
	claim: async message => relay.claim(message),
	settle: async message => relay.settle(message),
	levels: async () => levels(),
});
