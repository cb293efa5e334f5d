/** This daemon's own registration among the members. */
import type {ObjectApi, WriteCondition, WriteOutcome} from '../object-api/object-api.js';
import type {Logger} from '../util/logger.js';
import {type Member, memberSchema} from './directory.js';

const RENEWAL_INTERVAL_MS = 10_000;

const CALL_TIMEOUT_MS = 3000;

/** After a failed write the next one follows sooner. */
const RETRY_MS = 2000;

/** What a daemon states about itself. */
export type MemberIdentity = Omit<Member, 'renewal' | 'draining'>;

/** Key of a member's registration. */
export const memberKey = (member: MemberIdentity): string => `members/${member.region}/${member.failureDomain}/${member.id}`;

/**
 * Writes the registration every 10 s, at the start and when `draining` changes, and removes it at the end.
 * A later incarnation of the same id ends the renewal, so that a process that resumes late does not replace its successor.
 */
export class MemberRegistry {
	static create(options: {readonly identity: MemberIdentity; readonly objects: ObjectApi; readonly logger: Logger}): MemberRegistry {
		return new MemberRegistry(options.identity, options.objects, options.logger);
	}

	#member: Member;
	#version: number | undefined;
	#timer: NodeJS.Timeout | undefined;
	#writing: Promise<void> = Promise.resolve();
	#closed = false;

	private constructor(identity: MemberIdentity, private readonly objects: ObjectApi, private readonly logger: Logger) {
		this.#member = {...identity, renewal: 0, draining: false};
	}

	/** The registration as last written or about to be written. */
	current(): Member {
		return this.#member;
	}

	/** Registers, and keeps the registration renewed. Resolves after the first attempt. */
	async start(): Promise<void> {
		await this.#renew();
	}

	/** Publishes at once whether this daemon takes new work. */
	async setDraining(draining: boolean): Promise<void> {
		if (this.#member.draining !== draining) {
			this.#member = {...this.#member, draining};
			await this.#renew();
		}
	}

	/** Ends the renewal and removes the registration. */
	async close(): Promise<void> {
		this.#closed = true;
		clearTimeout(this.#timer);
		await this.#writing;
		if (this.#version !== undefined) {
			await this.objects.remove(memberKey(this.#member), this.#version, {timeoutMs: CALL_TIMEOUT_MS});
		}
	}

	async #renew(): Promise<void> {
		clearTimeout(this.#timer);
		this.#writing = this.#writeAfter(this.#writing);
		await this.#writing;
	}

	async #writeAfter(previous: Promise<void>): Promise<void> {
		await previous;
		if (this.#closed) {
			return;
		}

		this.#member = {...this.#member, renewal: this.#member.renewal + 1};
		const condition: WriteCondition = this.#version === undefined ? {kind: 'absent'} : {kind: 'version', version: this.#version};
		const outcome = await this.objects.write(memberKey(this.#member), this.#member, condition, {timeoutMs: CALL_TIMEOUT_MS});
		const delayMs = await this.#settle(outcome);
		if (delayMs !== undefined && !this.#closed) {
			this.#timer = setTimeout(() => {
				void this.#renew();
			}, delayMs);
		}
	}

	/** Returns the time until the next write, or undefined when a later incarnation took the place. */
	async #settle(outcome: WriteOutcome): Promise<number | undefined> {
		switch (outcome.kind) {
			case 'written': {
				this.#version = outcome.version;
				return RENEWAL_INTERVAL_MS;
			}

			case 'conflict':
			case 'unknown': {
				return this.#adopt();
			}

			case 'rejected': {
				this.logger.warn('member_renewal_failed', {key: memberKey(this.#member), message: outcome.message});
				return RETRY_MS;
			}
		}
	}

	/** Reads what is registered, to write on top of it. */
	async #adopt(): Promise<number | undefined> {
		const first = this.#version === undefined;
		const outcome = await this.objects.read(memberKey(this.#member), {timeoutMs: CALL_TIMEOUT_MS});
		if (outcome.kind === 'unavailable') {
			this.logger.warn('member_renewal_failed', {key: memberKey(this.#member), message: outcome.message});
			return RETRY_MS;
		}

		if (outcome.kind === 'absent') {
			this.#version = undefined;
			return 0;
		}

		const registered = memberSchema.safeParse(outcome.object.value);
		const own = registered.success && registered.data.incarnation === this.#member.incarnation;
		if (!own && !first) {
			this.logger.error('member_replaced', {key: memberKey(this.#member), incarnation: registered.data?.incarnation});
			return undefined;
		}

		this.#version = outcome.object.version;
		return own && registered.data.renewal === this.#member.renewal ? RENEWAL_INTERVAL_MS : 0;
	}
}
