/**
 * Claims as the receiving daemon uses them: through the relay of the partition, or by its own write where the relay does
 * not answer. Two writers of one object only cost a retry, so views of the members need not agree.
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
/** Longer than a relay tries to record a settlement. */
const SETTLE_TIMEOUT_MS = 5000;
const FIRST_SETTLE_PAUSE_MS = 100;
const MAX_SETTLE_PAUSE_MS = 5000;
const MAX_PENDING_SETTLES = 10_000;

/** Calls that reach another daemon's relay. */
export type ClaimPeer = Pick<PeerService, 'claim' | 'settle'>;

/** What the claims of a daemon need. */
export type OperationClaimsOptions = {
	readonly directory: Directory;
	/** Client of the daemon at a peer address. */
	readonly peer: (address: string) => ClaimPeer;
	/** This daemon's own relay. */
	readonly relay: ClaimRelay;
	readonly layout: ClaimLayoutStore;
	/** Called when a settlement is given up; its operation stays in doubt. */
	readonly onAbandoned?: (settle: Settle, reason: string) => void;
	readonly clock?: Clock;
	readonly wallClock?: Clock;
};

/** Records claims and settlements of the operations that this daemon received. */
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

	/** Settlements that are not recorded yet. */
	get pendingSettles(): number {
		return this.#pending.size;
	}

	/** The fixed layout of claim objects, or undefined while it cannot be read. */
	async layout(): Promise<ClaimLayout | undefined> {
		return this.#options.layout.get(LAYOUT_TIMEOUT_MS, this.#wallClock());
	}

	/**
	 * Claims an operation for an attempt. After any answer but `claimed` the attempt must not send.
	 * After `unavailable` without `unwritten` the claim has to be released, since it may be recorded or still become so.
	 */
	async claim(claim: Claim): Promise<ClaimAnswer> {
		const deadline = this.#clock() + claim.remainingMs;
		const relay = await this.#relayOf(claim);
		const relayed = relay && await this.#claimAt(relay, claim);
		if (relayed && relayed.kind !== 'unavailable') {
			return relayed;
		}

		const own = await this.#options.relay.claim({...claim, remainingMs: Math.max(0, deadline - this.#clock())});
		return own.kind === 'unavailable' && relay ? {...own, unwritten: own.unwritten && relayed?.unwritten} : own;
	}

	/** Records a settlement in the background, with retries until it is recorded or the claim is no longer kept. */
	settle(settle: Settle): void {
		if (this.#pending.size >= MAX_PENDING_SETTLES || this.#closing.signal.aborted) {
			this.#options.onAbandoned?.(settle, 'too many settlements wait, or closing');
			return;
		}

		const task = this.#settleUntilRecorded(settle);
		this.#pending.add(task);
		void this.#forget(task);
	}

	/** Waits until the settlements are recorded, for at most `timeoutMs`. */
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

	async #claimAt(relay: Member, claim: Claim): Promise<ClaimAnswer & {readonly unwritten?: boolean} | undefined> {
		const timeoutMs = Math.min(RELAY_TIMEOUT_MS, Math.max(1, claim.remainingMs / 2));
		const message = {...claim, remainingMs: timeoutMs};
		try {
			return await this.#options.peer(relay.peerAddress).claim(message, AbortSignal.timeout(Math.ceil(timeoutMs)));
		} catch {
			return undefined;
		}
	}

	async #settleUntilRecorded(settle: Settle): Promise<void> {
		const backoff = Backoff.create({baseMs: FIRST_SETTLE_PAUSE_MS, maxMs: MAX_SETTLE_PAUSE_MS, seed: settle.keyTimeMs});
		let relayFirst = true;
		while (!this.#closing.signal.aborted) {
			if (await this.#settleOnce(settle, relayFirst)) {
				return;
			}

			if (await this.#isForgotten(settle)) {
				this.#options.onAbandoned?.(settle, 'its claim is no longer kept');
				return;
			}

			relayFirst = !relayFirst;
			await pause(backoff.nextMs(), this.#closing.signal);
		}

		this.#options.onAbandoned?.(settle, 'closing');
	}

	async #forget(task: Promise<void>): Promise<void> {
		await task;
		this.#pending.delete(task);
	}

	async #settleOnce(settle: Settle, relayFirst: boolean): Promise<boolean> {
		try {
			const relay = relayFirst ? await this.#relayOf(settle) : undefined;
			return await this.#settleAt(relay ? this.#options.peer(relay.peerAddress) : this.#options.relay, settle);
		} catch {
			return false;
		}
	}

	/** Gives up waiting after a time, since a peer's connection can stall. Settling twice does no harm. */
	async #settleAt(target: Pick<ClaimPeer, 'settle'>, settle: Settle): Promise<boolean> {
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

	async #isForgotten(settle: Settle): Promise<boolean> {
		const layout = await this.layout();
		return layout !== undefined && this.#wallClock() - settle.keyTimeMs > layout.retentionMs;
	}

	/** The member that writes the partition of an operation; undefined when it is this daemon. */
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
