/**
 * Splits a prompt across several engines of a pool (a gang). Either all members are reserved at once or none, so no
 * request holds part of its memory while it waits for the rest.
 */
import type {BackendServerState} from './backend-server-state.js';
import type {Demand} from './server-load.js';
import {type GrantMode, usableShare} from './usable-share.js';

/** A prompt to split. `demand.kvTokens` covers the prompt and the generated tokens; the generated tokens go to the last member. */
export type GangRequest = {
	readonly demand: Demand;
	readonly exclude: readonly string[];
	readonly maxGangSize: number;
};

/** One engine of a gang with its part of the prompt. Members are ordered by their position in the prompt. */
export type GangMember = {
	readonly server: BackendServerState;
	readonly demand: Demand;
};

/** Token capacity of one engine, free or total. */
type EngineCapacity = {
	readonly server: BackendServerState;
	readonly kvTokens: number;
	readonly prefillTokens: number;
};

/** Capacity of an engine with the number of tokens of one prompt that fit there. */
type PromptCapacity = EngineCapacity & {readonly tokens: number};

const FULL: GrantMode = {kind: 'full', unconfirmed: 0};

/** Plans with the memory that is free now. Undefined when it is insufficient. */
export const planWithFreeMemory = (request: GangRequest, servers: readonly BackendServerState[], mode: GrantMode, now: number): readonly GangMember[] | undefined =>
	planMembers(request, permitted(request, servers, now).map(server => ({...capacityOf(server, mode), kvTokens: server.freeKvTokens(mode)})));

/** Plans with the total memory of the engines and prefers those with the most free memory. */
export function planWithTotalMemory(request: GangRequest, servers: readonly BackendServerState[], mode: GrantMode, now: number): readonly GangMember[] | undefined {
	const ordered = permitted(request, servers, now).sort((a, b) => b.freeKvTokens(mode) - a.freeKvTokens(mode));
	return planMembers(request, ordered.map(server => capacityOf(server, mode)));
}

/** Whether any permitted set of engines could hold the prompt when empty and with the full limits. */
export function couldEverFit(request: GangRequest, servers: readonly BackendServerState[]): boolean {
	const eligible = servers.filter(server => !server.leaving && !request.exclude.includes(server.id));
	return planMembers(request, eligible.map(server => capacityOf(server, FULL))) !== undefined;
}

const capacityOf = (server: BackendServerState, mode: GrantMode): EngineCapacity => ({
	server,
	kvTokens: usableShare(server.limits.kvTokens, mode),
	prefillTokens: usableShare(server.limits.warm.prefillTokens, mode),
});

const permitted = (request: GangRequest, servers: readonly BackendServerState[], now: number): BackendServerState[] =>
	servers.filter(server => server.isUsable(now) && !request.exclude.includes(server.id));

/** Selects the fewest engines that suffice, largest capacity first, and splits the tokens in proportion to capacity. */
function planMembers(request: GangRequest, engines: readonly EngineCapacity[]): readonly GangMember[] | undefined {
	const {demand, maxGangSize} = request;
	const generated = demand.kvTokens - demand.prefillTokens;
	const largestFirst: PromptCapacity[] = engines.map(engine => ({...engine, tokens: Math.min(engine.kvTokens, engine.prefillTokens)})).sort((a, b) => b.tokens - a.tokens);
	let total = 0;
	for (const [index, engine] of largestFirst.slice(0, maxGangSize).entries()) {
		const tokens = index === 0 ? Math.min(engine.kvTokens, engine.prefillTokens + generated) : engine.tokens;
		largestFirst[index] = {...engine, tokens};
		total += tokens;
		if (total >= demand.kvTokens && largestFirst[0]!.tokens > generated) {
			return split(demand, generated, largestFirst.slice(0, index + 1), total);
		}
	}

	return undefined;
}

/** Splits the prompt. The engine with the largest capacity comes last, since it also holds the generated tokens. */
function split(demand: Demand, generated: number, engines: readonly PromptCapacity[], total: number): readonly GangMember[] {
	const [last, ...others] = engines as readonly [PromptCapacity, ...PromptCapacity[]];
	const members: GangMember[] = [];
	const lastKv = Math.max(generated + 1, Math.min(last.tokens, Math.ceil(demand.kvTokens * last.tokens / total)));
	let kvLeft = demand.kvTokens - lastKv;
	let capacityLeft = total - last.tokens;
	for (const {server, tokens} of others) {
		const kvTokens = Math.min(tokens, Math.ceil(kvLeft * tokens / capacityLeft));
		kvLeft -= kvTokens;
		capacityLeft -= tokens;
		if (kvTokens > 0) {
			members.push({server, demand: {...demand, prefillTokens: kvTokens, kvTokens}});
		}
	}

	const kvTokens = lastKv + kvLeft;
	return [...members, {server: last.server, demand: {...demand, prefillTokens: kvTokens - generated, kvTokens}}];
}
