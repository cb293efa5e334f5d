/** Writes and renews this daemon's own registration. */
import type {ObjectApi, WriteCondition, WriteOutcome} from '../object-api/object-api.js';
import type {Logger} from '../util/logger.js';
import {type Member, memberSchema} from './directory.js';

const RENEWAL_INTERVAL_MS = 10_000;

const CALL_TIMEOUT_MS = 3000;

/** Delay in ms before the next write after a failed one. */
const RETRY_DELAY_MS = 2000;

/** The fields of a registration that do not change during the life of the process. */
export type MemberIdentity = Omit<Member, 'renewal' | 'draining'>;

/** Object key of a member's registration. */
export const memberKey = (member: MemberIdentity): string => `members/${member.region}/${member.failureDomain}/${member.id}`;

/**
 * Writes the registration at the start, every 10 s and when `draining` changes, and removes it on close.
 * Renewal stops when another incarnation of the same id has registered, so that a process that resumes after a long stall
 * does not overwrite the registration of its successor.
 */
export class MemberRegistration {
	static create(options: {readonly identity: MemberIdentity; readonly objects: ObjectApi; readonly logger: Logger}): MemberRegistration {
		return new MemberRegistration(options.identity, options.objects, options.logger);
	}

	#member: Member;
	#version: number | undefined;
	#timer: NodeJS.Timeout | undefined;
	#pendingWrite: Promise<void> = Promise.resolve();
	#isClosed = false;

	private constructor(identity: MemberIdentity, private readonly objects: ObjectApi, private readonly logger: Logger) {
		this.#member = {...identity, renewal: 0, draining: false};
	}

	/** The registration as last written or as it is being written. */
	current(): Member {
		return this.#member;
	}

	/** Starts to write and renew the registration. Resolves after the first attempt. */
	async start(): Promise<void> {
		await this.#renew();
	}

	/** Publishes immediately whether this daemon is draining and takes no new work. */
	async setDraining(draining: boolean): Promise<void> {
		if (this.#member.draining !== draining) {
			this.#member = {...this.#member, draining};
			await this.#renew();
		}
	}

	/** Stops the renewal and removes the registration. */
	async close(): Promise<void> {
		this.#isClosed = true;
		clearTimeout(this.#timer);
		await this.#pendingWrite;
		if (this.#version !== undefined) {
			await this.objects.remove(memberKey(this.#member), this.#version, {timeoutMs: CALL_TIMEOUT_MS});
		}
	}

	async #renew(): Promise<void> {
		clearTimeout(this.#timer);
		this.#pendingWrite = this.#writeAfter(this.#pendingWrite);
		await this.#pendingWrite;
	}

	async #writeAfter(previous: Promise<void>): Promise<void> {
		await previous;
		if (this.#isClosed) {
			return;
		}

		this.#member = {...this.#member, renewal: this.#member.renewal + 1};
		const condition: WriteCondition = this.#version === undefined ? {kind: 'absent'} : {kind: 'version', version: this.#version};
		const outcome = await this.objects.write(memberKey(this.#member), this.#member, condition, {timeoutMs: CALL_TIMEOUT_MS});
		const delayMs = await this.#handleWriteOutcome(outcome);
		if (delayMs !== undefined && !this.#isClosed) {
			this.#timer = setTimeout(() => {
				void this.#renew();
			}, delayMs);
		}
	}

	/** Returns the delay in ms until the next write, or undefined if another incarnation has replaced this one. */
	async #handleWriteOutcome(outcome: WriteOutcome): Promise<number | undefined> {
		switch (outcome.kind) {
			case 'written': {
				this.#version = outcome.version;
				return RENEWAL_INTERVAL_MS;
			}

			case 'conflict':
			case 'unknown': {
				return this.#reconcileWithStored();
			}

			case 'rejected': {
				this.logger.warn('member_renewal_failed', {key: memberKey(this.#member), message: outcome.message});
				return RETRY_DELAY_MS;
			}
		}
	}

	/** Reads the stored registration to learn its version after a conflict or a lost answer. Returns the delay as above. */
	async #reconcileWithStored(): Promise<number | undefined> {
		const isFirstWrite = this.#version === undefined;
		const outcome = await this.objects.read(memberKey(this.#member), {timeoutMs: CALL_TIMEOUT_MS});
		if (outcome.kind === 'unavailable') {
			this.logger.warn('member_renewal_failed', {key: memberKey(this.#member), message: outcome.message});
			return RETRY_DELAY_MS;
		}

		if (outcome.kind === 'absent') {
			this.#version = undefined;
			return 0;
		}

		const registered = memberSchema.safeParse(outcome.object.value);
		const isOwn = registered.success && registered.data.incarnation === this.#member.incarnation;
		if (!isOwn && !isFirstWrite) {
			this.logger.error('member_replaced', {key: memberKey(this.#member), incarnation: registered.data?.incarnation});
			return undefined;
		}

		this.#version = outcome.object.version;
		return isOwn && registered.data.renewal === this.#member.renewal ? RENEWAL_INTERVAL_MS : 0;
	}
}
