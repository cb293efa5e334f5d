/** Calls that the holder of a pool lease makes to other daemons. */
import type {Member, PoolLease} from '../membership/directory.js';
import type {IncarnationState} from '../membership/member-view.js';
import type {ObservedLease} from '../membership/region-directory.js';
import {PeerError} from '../peer/peer-error.js';
import type {PromiseRequest, StepDown} from '../peer/protocol.js';
import {candidateName, LEASE_TTL_MS} from './lease-takeover.js';

/** Membership and lease information that the lease protocol reads from the directory. */
export type LeaseDirectory = {
	readonly self: Member;
	readonly membersListedAtMs: number | undefined;
	members(): readonly Member[];
	leasesKnown(failureDomain: string): boolean;
	observedLease(pool: string): ObservedLease | undefined;
	recordLease(pool: string, lease: PoolLease, version: number, now: number): void;
	incarnationState(id: string, incarnation: string): IncarnationState;
	refresh(): void;
};

/** Lease calls to other daemons. They reject when the peer does not respond. */
export type LeasePeers = {
	stepDown(address: string, message: StepDown): Promise<{readonly confirmed: boolean}>;
	promise(address: string, message: PromiseRequest): Promise<{readonly promised: boolean}>;
};

/** A coordinator that was replaced without having released its lease. */
export type Predecessor = PoolLease['unconfirmed'][number];

/** Name of a predecessor, including its incarnation. */
export const predecessorName = ({owner, incarnation}: Predecessor): string => candidateName({id: owner, incarnation});

type LeaseContext = {
	readonly directory: LeaseDirectory;
	readonly peers: LeasePeers;
};

/** Asks every candidate to promise not to take over for one TTL. True when all of them promised. */
export async function askForPromises({directory, peers}: LeaseContext, lease: PoolLease, candidates: ReadonlySet<string>): Promise<boolean> {
	const members = new Map(directory.members().map(member => [candidateName(member), member]));
	const {id, incarnation, peerAddress} = directory.self;
	const message: PromiseRequest = {
		sender: {id, incarnation, peerAddress}, pool: lease.pool, epoch: lease.epoch, forMs: LEASE_TTL_MS,
	};
	const answers = await Promise.all([...candidates].map(async name => {
		const address = members.get(name)?.peerAddress;
		if (address === undefined) {
			return false;
		}

		try {
			const {promised} = await peers.promise(address, message);
			return promised;
		} catch {
			return false;
		}
	}));
	return answers.every(Boolean);
}

/**
 * Asks a predecessor to confirm that it no longer grants under epochs below that of `message`. False when it does not
 * respond. A daemon listens for peers until its coordinators have closed, so a refused connection proves that it has
 * ended.
 */
export async function askToStepDown({peers}: LeaseContext, predecessor: Predecessor, message: StepDown): Promise<boolean> {
	try {
		const {confirmed} = await peers.stepDown(predecessor.peerAddress, message);
		return confirmed;
	} catch (err) {
		return err instanceof PeerError && err.isRefused;
	}
}
