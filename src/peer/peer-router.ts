/** TRPC router for calls from peers, with one procedure for each method of {@link PeerService}. */
import {initTRPC} from '@trpc/server';
import {
	acknowledgeSchema, claimSchema, configurationPollSchema, keepAliveSchema, type PeerService, promiseSchema, releaseSchema,
	reserveSchema, settleSchema, stepDownSchema,
} from './protocol.js';

const t = initTRPC.create();

/**
 * Routes each procedure to the method of the same name. Inputs that do not match the schema are rejected. The signal of a
 * call is aborted when the caller closes its connection.
 */
export const createPeerRouter = (service: PeerService) => t.router({
	reserve: t.procedure.input(reserveSchema).mutation(async ({input, signal}) => service.reserve(input, signal)),
	acknowledge: t.procedure.input(acknowledgeSchema).mutation(async ({input}) => service.acknowledge(input)),
	release: t.procedure.input(releaseSchema).mutation(async ({input}) => service.release(input)),
	keepAlive: t.procedure.input(keepAliveSchema).mutation(async ({input}) => service.keepAlive(input)),
	stepDown: t.procedure.input(stepDownSchema).mutation(async ({input}) => service.stepDown(input)),
	promise: t.procedure.input(promiseSchema).mutation(async ({input}) => service.promise(input)),
	configuration: t.procedure.input(configurationPollSchema).mutation(async ({input, signal}) => service.configuration(input, signal)),
	claim: t.procedure.input(claimSchema).mutation(async ({input, signal}) => service.claim(input, signal)),
	settle: t.procedure.input(settleSchema).mutation(async ({input}) => service.settle(input)),
	levels: t.procedure.mutation(async () => service.levels()),
});

export type PeerRouter = ReturnType<typeof createPeerRouter>;
