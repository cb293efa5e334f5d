/**
 * Records claims for the daemon that received the operation: through the relay of the partition, or with its own relay when
 * the other one is unavailable. Two writers of one object only cause a retry, so daemons may disagree about the membership.
 */
import type {Directory, Member} from '../membership/directory.js';
import type {
	Claim, ClaimAnswer, PeerService, Settle,
} from '../peer/protocol.js';
import {Backoff} from '../util/backoff.js';
import {monotonicMs, wallClockMs, type Clock} from '../util/clock.js';
import {pause} from '../util/pause.js';
import {chooseNode} from '../util/rendezvous.js';
import {claimObjectKey, type ClaimLayout, type ClaimLayoutStore} from './claim-layout.js';
import type {ClaimRelay} from './claim-relay.js';

const RELAY_TIMEOUT_MS = 1000;
const LAYOUT_TIMEOUT_MS = 1000;
/** Longer than the time limit of a relay for recording a settlement. */
const SETTLE_TIMEOUT_MS = 5000;
const MIN_SETTLE_PAUSE_MS = 100;
const MAX_SETTLE_PAUSE_MS = 5000;
const MAX_PENDING_SETTLES = 10_000;

/** Calls to the relay of another daemon. */
export type ClaimPeer = Pick<PeerService, 'claim' | 'settle'>;

export type OperationClaimsOptions = {
	readonly directory: Directory;
	/** Returns the client of the daemon at a peer address. */
	readonly peer: (address: string) => ClaimPeer;
	/** The relay of this daemon. */
	readonly relay: ClaimRelay;
	readonly layout: ClaimLayoutStore;
	/** Called when a settlement is abandoned. The outcome of its operation remains unknown to repeats. */
	readonly onAbandoned?: (settle: Settle, reason: string) => void;
	readonly clock?: Clock;
	readonly wallClock?: Clock;
};

/** Records the claims and settlements of operations that this daemon received. */
export class OperationClaims {
	static create(options: OperationClaimsOptions): OperationClaims {
		return new OperationClaims(options);
	}

	readonly #options: OperationClaimsOptions;
	readonly #clock: Clock;
	readonly #wallClock: Clock;
	readonly #closing = new AbortController();
	readonly #pending = new Set<Promise<void>>();

	private constructor(options: OperationClaimsOptions) {
		this.#options = options;
		this.#clock = options.clock ?? monotonicMs;
		this.#wallClock = options.wallClock ?? wallClockMs;
	}

	/** Number of settlements that are not recorded yet. */
	get pendingSettles(): number {
		return this.#pending.size;
	}

	/** Returns the layout of claim objects, or undefined when it cannot be read. */
	async layout(): Promise<ClaimLayout | undefined> {
		return this.#options.layout.get(LAYOUT_TIMEOUT_MS, this.#wallClock());
	}

	/**
	 * Claims an operation for an attempt. The attempt must not send unless the answer is `claimed`.
	 * After `unavailable` without `unwritten`, the caller must release the claim, since it may have been recorded or may still be.
	 */
	async claim(claim: Claim): Promise<ClaimAnswer> {
		const deadline = this.#clock() + claim.remainingMs;
		const relay = await this.#relayOf(claim);
		const relayed = relay && await this.#claimThrough(relay, claim);
		if (relayed && relayed.kind !== 'unavailable') {
			return relayed;
		}

		const own = await this.#options.relay.claim({...claim, remainingMs: Math.max(0, deadline - this.#clock())});
		return own.kind === 'unavailable' && relay ? {...own, unwritten: own.unwritten && relayed?.unwritten} : own;
	}

	/** Records a settlement in the background, with retries until it is recorded or the retention of its claim has passed. */
	settle(settle: Settle): void {
		if (this.#pending.size >= MAX_PENDING_SETTLES || this.#closing.signal.aborted) {
			this.#options.onAbandoned?.(settle, 'too many pending settlements, or shutting down');
			return;
		}

		const task = this.#settleUntilRecorded(settle);
		this.#pending.add(task);
		void this.#removeWhenDone(task);
	}

	/** Waits until all pending settlements are recorded, for at most `timeoutMs`. */
	async drain(timeoutMs: number): Promise<void> {
		const timeout = new AbortController();
		await Promise.race([
			Promise.all(this.#pending),
			pause(timeoutMs, timeout.signal),
		]);
		timeout.abort();
	}

	close(): void {
		this.#closing.abort();
	}

	async #claimThrough(relay: Member, claim: Claim): Promise<ClaimAnswer & {readonly unwritten?: boolean} | undefined> {
		const timeoutMs = Math.min(RELAY_TIMEOUT_MS, Math.max(1, claim.remainingMs / 2));
		const message = {...claim, remainingMs: timeoutMs};
		try {
			return await this.#options.peer(relay.peerAddress).claim(message, AbortSignal.timeout(Math.ceil(timeoutMs)));
		} catch {
			return undefined;
		}
	}

	async #settleUntilRecorded(settle: Settle): Promise<void> {
		const backoff = Backoff.create({baseMs: MIN_SETTLE_PAUSE_MS, maxMs: MAX_SETTLE_PAUSE_MS, seed: settle.keyTimeMs});
		let useRelay = true;
		while (!this.#closing.signal.aborted) {
			if (await this.#settleOnce(settle, useRelay)) {
				return;
			}

			if (await this.#isRetentionPassed(settle)) {
				this.#options.onAbandoned?.(settle, 'the retention of its claim has passed');
				return;
			}

			useRelay = !useRelay;
			await pause(backoff.nextMs(), this.#closing.signal);
		}

		this.#options.onAbandoned?.(settle, 'shutting down');
	}

	async #removeWhenDone(task: Promise<void>): Promise<void> {
		await task;
		this.#pending.delete(task);
	}

	async #settleOnce(settle: Settle, useRelay: boolean): Promise<boolean> {
		try {
			const relay = useRelay ? await this.#relayOf(settle) : undefined;
			return await this.#settleWithTimeout(relay ? this.#options.peer(relay.peerAddress) : this.#options.relay, settle);
		} catch {
			return false;
		}
	}

	/** Stops waiting after a timeout, since the connection to a peer can stall. Settling twice is harmless. */
	async #settleWithTimeout(target: Pick<ClaimPeer, 'settle'>, settle: Settle): Promise<boolean> {
		const waiting = new AbortController();
		const settled = async () => {
			await target.settle(settle);
			return true;
		};

		const limit = async () => {
			await pause(SETTLE_TIMEOUT_MS, waiting.signal);
			return false;
		};

		try {
			return await Promise.race([settled(), limit()]);
		} finally {
			waiting.abort();
		}
	}

	async #isRetentionPassed(settle: Settle): Promise<boolean> {
		const layout = await this.layout();
		return layout !== undefined && this.#wallClock() - settle.keyTimeMs > layout.retentionMs;
	}

	/** Returns the member that writes the partition of an operation; undefined if that is this daemon or the layout is not known. */
	async #relayOf(message: {readonly operation: string; readonly keyTimeMs: number}): Promise<Member | undefined> {
		const layout = await this.layout();
		if (!layout) {
			return undefined;
		}

		const {directory} = this.#options;
		const members = directory.members().filter(({draining}) => !draining);
		const chosen = chooseNode(claimObjectKey(message.operation, message.keyTimeMs, layout), members.map(({id}) => id));
		return chosen === directory.self.id ? undefined : members.find(({id}) => id === chosen);
	}
}
