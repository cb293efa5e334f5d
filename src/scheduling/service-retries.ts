/** Retries of one service by one daemon: of its own part first, then of what the fleet leaves. */
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import {RetryBudget, type RetryLimit} from '../util/retry-budget.js';
import type {RetryAllowance} from './retry-allowance.js';
import {RETRY_WINDOW_MS} from './retry-counts.js';

/** `own`, `fleet`: allowed by the own part or by the fleet's allowance; `returned`: allowed before and not made. */
export type RetryDecision = 'own' | 'fleet' | 'denied' | 'returned';

export type ServiceRetriesOptions = {
	readonly service: string;
	readonly share: number;
	readonly allowance: RetryAllowance;
	readonly clock: Clock;
	readonly logger: Logger;
	count(decision: RetryDecision): void;
};

type Grant = {readonly by: 'own' | 'fleet'; readonly at: number};

export class ServiceRetries implements RetryLimit {
	static create(options: ServiceRetriesOptions): ServiceRetries {
		return new ServiceRetries(options);
	}

	readonly #own: RetryBudget;
	/** Retries of the last window, any of which may be given back. */
	#grants: Grant[] = [];
	#deniedAt = -Infinity;

	private constructor(private readonly options: ServiceRetriesOptions) {
		this.#own = RetryBudget.create(options.share, () => options.allowance.ownPart);
	}

	recordRequest(): void {
		const {allowance, service, clock} = this.options;
		this.#own.recordRequest();
		allowance.recordRequest(service, clock());
	}

	tryRetry(): boolean {
		const {clock, count} = this.options;
		const now = clock();
		const by = this.#take(now);
		count(by ?? 'denied');
		if (by === undefined) {
			this.#logDenial(now);
			return false;
		}

		this.#grants = [...this.#grants.filter(({at}) => now - at < RETRY_WINDOW_MS), {by, at: now}];
		return true;
	}

	giveBack(): void {
		const {allowance, service, count} = this.options;
		const grant = this.#grants.pop();
		const isOwn = grant?.by !== 'fleet';
		count('returned');
		if (grant) {
			allowance.giveBack(service, isOwn, grant.at);
		}

		if (isOwn) {
			this.#own.giveBack();
		}
	}

	#take(now: number): Grant['by'] | undefined {
		const {allowance, service} = this.options;
		if (this.#own.tryRetry()) {
			allowance.recordOwnRetry(service, now);
			return 'own';
		}

		return allowance.tryRetry(service, now) ? 'fleet' : undefined;
	}

	/** Logs a denial after a window without one. */
	#logDenial(now: number): void {
		const {allowance, service, logger} = this.options;
		if (allowance.isShared && now - this.#deniedAt > RETRY_WINDOW_MS) {
			const {requests, retries, reserved, daemons, heard} = allowance.state(service, now);
			logger.warn('retry_denied', {
				service, requests, retries, reserved: Math.round(reserved), daemons, heard,
			});
		}

		this.#deniedAt = now;
	}
}
