/** Finds backend servers for a waiting request, and reserves freed memory for requests that would otherwise starve. */
import type {BackendServerState, Fit} from './backend-server-state.js';
import {type GangMember, planWithFreeMemory, planWithTotalMemory} from './gang.js';
import {isWithinLongPromptQuota, chooseServer, type PlacementContext} from './placement.js';
import type {PoolServers} from './pool-servers.js';
import {usableShare} from './usable-share.js';
import {isAged, type WaitQueue} from './wait-queue.js';
import {queueId, type WaitingRequest} from './waiting-request.js';

/** Decision for a waiting request. */
export type GrantPlan =
	| {readonly kind: 'grant'; readonly members: readonly GangMember[]}
	/** Call `/health` on `server` before granting. */
	| {readonly kind: 'probe'; readonly server: BackendServerState}
	| {readonly kind: 'wait'};

const WAIT: GrantPlan = {kind: 'wait'};

export class GrantPlanner {
	static create(servers: PoolServers): GrantPlanner {
		return new GrantPlanner(servers);
	}

	/** The one request that accumulates freed memory, and its servers. Two such requests could deadlock, each holding half of the memory. */
	#accumulating: {readonly id: string; readonly members: readonly GangMember[]} | undefined;

	private constructor(private readonly servers: PoolServers) {}

	plan(item: WaitingRequest, context: PlacementContext): GrantPlan {
		if (context.mode.kind === 'none') {
			return WAIT;
		}

		return item.message.activate === undefined ? this.#planNew(item, context) : this.#planActivation(item, item.message.activate, context);
	}

	/** Clears the exclusive use of servers by requests that left the queue or no longer fit there. */
	checkExclusive(queue: WaitQueue<WaitingRequest>, {mode, now, recovering}: PlacementContext): void {
		for (const server of this.servers.all()) {
			const id = server.exclusiveFor;
			if (id === undefined) {
				continue;
			}

			const item = queue.get(id) ?? queue.get(queueId({id, activate: server.id}));
			const demand = this.#accumulating?.id === id ? this.#accumulating.members[0]!.demand : item?.demand;
			if (!demand || server.canAccept(demand, mode, now, recovering) === 'no') {
				server.exclusiveFor = undefined;
			}
		}
	}

	/** Releases accumulated memory and exclusive servers of a request that was granted or left the queue. */
	discard(item: WaitingRequest): void {
		if (this.#accumulating?.id === item.id) {
			this.#stopAccumulating();
		}

		this.#endExclusive(item);
	}

	#planNew(item: WaitingRequest, context: PlacementContext): GrantPlan {
		const {exclude, prefixHashes, model} = item.message;
		const placement = chooseServer({demand: item.demand, prefixHashes, exclude}, this.servers.servingModel(model), context);
		if (placement.kind === 'placed') {
			return {kind: 'grant', members: [{server: placement.server, demand: item.demand}]};
		}

		return placement.kind === 'none' ? this.#planGang(item, context) : this.#waitForServer(placement.server, item, placement.kind);
	}

	#planActivation(item: WaitingRequest, serverId: string, {mode, now, recovering}: PlacementContext): GrantPlan {
		const server = this.servers.getOrCreate(serverId);
		const fit = server.canAccept(item.demand, mode, now, recovering);
		return this.#toPlan(fit, [{server, demand: item.demand}], item);
	}

	#planGang(item: WaitingRequest, context: PlacementContext): GrantPlan {
		const servers = this.servers.servingModel(item.message.model);
		const permitted = servers.filter(server => !item.gang.exclude.includes(server.id));
		if (item.demand.long && !isWithinLongPromptQuota(permitted, context)) {
			return WAIT;
		}

		this.#checkAccumulation(context);
		const accumulated = this.#accumulating?.id === item.id ? this.#accumulating.members : undefined;
		const members = accumulated ?? (item.demand.long ? planWithFreeMemory(item.gang, servers, context.mode, context.now) : undefined);
		const fit = members ? gangFit(members, context) : 'no';
		if (fit === 'no') {
			this.#accumulate(item, context);
		}

		return this.#toPlan(fit, members ?? [], item);
	}

	#toPlan(fit: Fit, members: readonly GangMember[], item: WaitingRequest): GrantPlan {
		switch (fit) {
			case 'yes': {
				return {kind: 'grant', members};
			}

			case 'probe':
			case 'exclusive': {
				return this.#waitForServer(members[0]!.server, item, fit);
			}

			case 'no': {
				return WAIT;
			}
		}
	}

	/** Blocks other grants on `server` until the request can be granted there. */
	#waitForServer(server: BackendServerState, item: WaitingRequest, fit: 'probe' | 'exclusive'): GrantPlan {
		if (server.exclusiveFor !== item.demand.id) {
			this.#endExclusive(item);
			server.exclusiveFor = item.demand.id;
		}

		return fit === 'probe' ? {kind: 'probe', server} : WAIT;
	}

	#endExclusive(item: WaitingRequest): void {
		for (const server of this.servers.all()) {
			if (server.exclusiveFor === item.demand.id) {
				server.exclusiveFor = undefined;
			}
		}
	}

	#accumulate(item: WaitingRequest, {mode, now}: PlacementContext): void {
		const waitsForMemory = item.demand.kvTokens > this.#largestServer() || isAged(item, now);
		if (this.#accumulating !== undefined || !waitsForMemory) {
			return;
		}

		const members = planWithTotalMemory(item.gang, this.servers.servingModel(item.message.model), mode, now);
		if (members) {
			this.#accumulating = {id: item.id, members};
			for (const {server, demand} of members) {
				server.accumulatingDemand = demand;
			}
		}
	}

	/** Cancels an accumulation whose servers are no longer usable or, after a change of the lease, no longer large enough. */
	#checkAccumulation({mode, now}: PlacementContext): void {
		const isImpossible = this.#accumulating?.members.some(({server, demand}) =>
			!server.isUsable(now) || demand.kvTokens > usableShare(server.limits.kvTokens, mode));
		if (isImpossible) {
			this.#stopAccumulating();
		}
	}

	#stopAccumulating(): void {
		for (const {server} of this.#accumulating?.members ?? []) {
			server.accumulatingDemand = undefined;
		}

		this.#accumulating = undefined;
	}

	#largestServer(): number {
		return Math.max(0, ...this.servers.all().map(({limits}) => Math.min(limits.kvTokens, limits.warm.prefillTokens)));
	}
}

/** Whether a gang fits. The first member starts immediately; the others only reserve memory until they are activated. */
function gangFit(members: readonly GangMember[], {mode, now, recovering}: PlacementContext): Fit {
	const [first, ...others] = members as readonly [GangMember, ...GangMember[]];
	const hasLongPrefill = members.some(({server, demand}) => demand.long && server.totals.longPrefills > 0);
	const canReserveOthers = others.every(({server, demand}) => server.canReserveMemory(demand, mode, now, recovering));
	return hasLongPrefill || !canReserveOthers ? 'no' : first.server.canAccept(first.demand, mode, now, recovering);
}
