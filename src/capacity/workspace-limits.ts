/**
 * Limits of workspaces in one pool. Each pool enforces a fixed share of each limit, so that the sum over all pools
 * stays within the limit without messages between pools.
 */
import {isDeepStrictEqual} from 'node:util';
import type {Configuration, Service, Workspace} from '../configuration/schema.js';
import {allPoolsOf} from '../membership/pool-shards.js';
import {rankNodes} from '../util/rendezvous.js';
import {type GrantMode, usableShare} from './usable-share.js';

/** Burst size of the prompt token bucket, as the time in which it fills. */
const TOKEN_BURST_MS = 10_000;

/** Burst size of the request bucket, as the time in which it fills. */
const REQUEST_BURST_MS = 1000;

const MINUTE_MS = 60_000;

/** One pool's share of a workspace's limits. */
export type WorkspaceShare = {
	readonly concurrentRequests: number;
	readonly requestsPerMs: number;
	readonly promptTokensPerMs: number;
};

/** Result of a limit check. `retryAfterMs` is set for rate limits, where a later retry can succeed. */
export type LimitCheck =
	| {readonly kind: 'within'}
	| {readonly kind: 'exceeded'; readonly limit: string; readonly retryAfterMs?: number};

/**
 * Share of the limits of `workspace` in `pool`. The limits apply to the whole system, so they are divided by the number
 * of pools of all services that the workspace uses. The remainder of concurrent requests goes to pools in the order of
 * their rendezvous hash. Prompt tokens are divided by the pools of model services only, since plain services use none.
 */
export function shareOf(workspace: Workspace, pool: string, configuration: Configuration): WorkspaceShare {
	const services = configuration.services.filter(service => workspace.services.includes(service.name));
	const pools = services.flatMap(service => allPoolsOf(service));
	const modelPools = services.filter(service => service.kind === 'model').flatMap(service => allPoolsOf(service));
	const {limits} = workspace;
	const position = rankNodes(workspace.name, pools).indexOf(pool);
	const base = Math.floor(limits.concurrentRequests / pools.length);
	const remainder = position !== -1 && position < limits.concurrentRequests % pools.length ? 1 : 0;
	return {
		concurrentRequests: position < 0 ? 0 : base + remainder,
		requestsPerMs: limits.requestsPerSecond / 1000 / pools.length,
		promptTokensPerMs: limits.promptTokensPerMinute / MINUTE_MS / Math.max(1, modelPools.length),
	};
}

/** A token bucket that fills at `ratePerMs`. A cost above its size is taken from a full bucket and leaves a negative level. */
class TokenBucket {
	#level: number;
	#updatedAtMs: number;

	constructor(private readonly size: number, private readonly ratePerMs: number, level: number, now: number) {
		this.#level = level;
		this.#updatedAtMs = now;
	}

	/** Milliseconds until `cost` may be taken; 0 when it may be taken now. */
	waitMs(cost: number, now: number): number {
		this.#level = Math.min(this.size, this.#level + ((now - this.#updatedAtMs) * this.ratePerMs));
		this.#updatedAtMs = now;
		return Math.max(0, Math.min(cost, this.size) - this.#level) / this.ratePerMs;
	}

	take(cost: number): void {
		this.#level -= cost;
	}
}

type Usage = {
	readonly share: WorkspaceShare;
	readonly requests: TokenBucket;
	readonly tokens: TokenBucket;
	concurrent: number;
};

/** Tracks the usage of workspaces in one pool and enforces their limits. */
export class WorkspaceLimits {
	/** `startsFull` is false after a predecessor that may just have used up the buckets, which then start empty. */
	static create(options: {readonly pool: string; readonly configuration: Configuration; readonly startsFull: boolean}): WorkspaceLimits {
		return new WorkspaceLimits(options.pool, options.configuration, options.startsFull);
	}

	readonly #usage = new Map<string, Usage>();
	#configuration: Configuration;

	private constructor(private readonly pool: string, configuration: Configuration, private readonly startsFull: boolean) {
		this.#configuration = configuration;
	}

	/** Applies a changed configuration. Current usage stays counted, and shares are recomputed only where their inputs changed. */
	setConfiguration(configuration: Configuration, now: number): void {
		const unchanged = unchangedShares(this.#configuration, configuration);
		this.#configuration = configuration;
		for (const [name, usage] of this.#usage) {
			if (unchanged.has(name)) {
				continue;
			}

			const updated = this.#createUsage(name, now);
			this.#usage.set(name, isSameShare(updated.share, usage.share) ? usage : {...updated, concurrent: usage.concurrent});
		}
	}

	/** Admits one request or returns the limit that it would exceed. Call {@link release} when an admitted request ends. */
	tryAcquire(workspace: string, promptTokens: number, mode: GrantMode, now: number): LimitCheck {
		const usage = this.#usageOf(workspace, now);
		if (usage.concurrent >= usableShare(usage.share.concurrentRequests, mode)) {
			return {kind: 'exceeded', limit: 'concurrent requests'};
		}

		const requestWaitMs = usage.requests.waitMs(1, now);
		if (requestWaitMs > 0) {
			return {kind: 'exceeded', limit: 'requests per second', retryAfterMs: requestWaitMs};
		}

		const tokenWaitMs = usage.tokens.waitMs(promptTokens, now);
		if (tokenWaitMs > 0) {
			return {kind: 'exceeded', limit: 'prompt tokens per minute', retryAfterMs: tokenWaitMs};
		}

		usage.requests.take(1);
		usage.tokens.take(promptTokens);
		usage.concurrent++;
		return {kind: 'within'};
	}

	/** Counts a request that is already running, whether or not it is within the limits. */
	register(workspace: string, now: number): void {
		this.#usageOf(workspace, now).concurrent++;
	}

	release(workspace: string, now: number): void {
		const usage = this.#usageOf(workspace, now);
		usage.concurrent = Math.max(0, usage.concurrent - 1);
	}

	#usageOf(workspace: string, now: number): Usage {
		const usage = this.#usage.get(workspace) ?? this.#createUsage(workspace, now);
		this.#usage.set(workspace, usage);
		return usage;
	}

	#createUsage(name: string, now: number): Usage {
		const workspace = this.#configuration.workspaces.find(candidate => candidate.name === name);
		const share = workspace ? shareOf(workspace, this.pool, this.#configuration) : emptyShare;
		const requestBurst = Math.max(1, share.requestsPerMs * REQUEST_BURST_MS);
		const tokenBurst = Math.max(1, share.promptTokensPerMs * TOKEN_BURST_MS);
		return {
			share,
			requests: new TokenBucket(requestBurst, share.requestsPerMs, this.startsFull ? requestBurst : 0, now),
			tokens: new TokenBucket(tokenBurst, share.promptTokensPerMs, this.startsFull ? tokenBurst : 0, now),
			concurrent: 0,
		};
	}
}

/** Names of the workspaces for which {@link shareOf} returns the same share in both configurations, because all its inputs are equal. */
function unchangedShares(before: Configuration, after: Configuration): ReadonlySet<string> {
	if (!isDeepStrictEqual(before.services.map(service => poolInputs(service)), after.services.map(service => poolInputs(service)))) {
		return new Set();
	}

	const previous = new Map(before.workspaces.map(workspace => [workspace.name, shareInputs(workspace)]));
	const equal = after.workspaces.filter(workspace => isDeepStrictEqual(previous.get(workspace.name), shareInputs(workspace)));
	return new Set(equal.map(({name}) => name));
}

const poolInputs = ({name, failureDomains, poolShards}: Service) => ({name, failureDomains, poolShards});
const shareInputs = ({services, limits}: Workspace) => ({services, limits});

const emptyShare: WorkspaceShare = {concurrentRequests: 0, requestsPerMs: 0, promptTokensPerMs: 0};

const isSameShare = (a: WorkspaceShare, b: WorkspaceShare): boolean =>
	a.concurrentRequests === b.concurrentRequests && a.requestsPerMs === b.requestsPerMs && a.promptTokensPerMs === b.promptTokensPerMs;
