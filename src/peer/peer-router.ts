/** Routes of a daemon for its peers over tRPC, one procedure for each message of {@link PeerService}. */
import {initTRPC} from '@trpc/server';
import {
	acknowledgeSchema, claimSchema, configurationPollSchema, keepAliveSchema, type PeerService, promiseSchema, releaseSchema,
	reserveSchema, settleSchema, stepDownSchema,
} from './protocol.js';

/** Context of one call: `signal` aborts when the caller's connection closes before the answer was written. */
export type PeerContext = {
	readonly signal: AbortSignal;
};

const t = initTRPC.context<PeerContext>().create();

/** Routes each procedure to the method of the same name. Inputs that do not match their schema are refused. */
export const createPeerRouter = (service: PeerService) => t.router({
	reserve: t.procedure.input(reserveSchema).mutation(async ({input, ctx}) => service.reserve(input, ctx.signal)),
	acknowledge: t.procedure.input(acknowledgeSchema).mutation(async ({input}) => service.acknowledge(input)),
	release: t.procedure.input(releaseSchema).mutation(async ({input}) => service.release(input)),
	keepAlive: t.procedure.input(keepAliveSchema).mutation(async ({input}) => service.keepAlive(input)),
	stepDown: t.procedure.input(stepDownSchema).mutation(async ({input}) => service.stepDown(input)),
	promise: t.procedure.input(promiseSchema).mutation(async ({input}) => service.promise(input)),
	configuration: t.procedure.input(configurationPollSchema).mutation(async ({input, ctx}) => service.configuration(input, ctx.signal)),
	claim: t.procedure.input(claimSchema).mutation(async ({input, ctx}) => service.claim(input, ctx.signal)),
	settle: t.procedure.input(settleSchema).mutation(async ({input}) => service.settle(input)),
	levels: t.procedure.mutation(async () => service.levels()),
});

export type PeerRouter = ReturnType<typeof createPeerRouter>;
