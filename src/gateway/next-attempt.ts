/** Chooses and prepares the next attempt of one request, and takes the tokens of the retry budget that this needs. */
import type {RetryLimit} from '../util/retry-budget.js';
import type {AttemptRecords} from './attempt-records.js';
import type {AttemptResult} from './attempt-result.js';
import type {Destination, DestinationChoice, Exclusions} from './destination-choice.js';
import type {FlowParts} from './flow-parts.js';
import {urgencyOf, type GatewayRequest} from './gateway-request.js';
import {AttemptPreparation, type PreparedAttempt} from './prepared-attempt.js';
import {canRunAgain, type RetryState} from './retry-policy.js';
import type {ServerChoice} from './server-choice.js';

export type NextAttemptOptions = {
	readonly parts: FlowParts;
	readonly request: GatewayRequest;
	readonly records: AttemptRecords;
	readonly destinations: DestinationChoice;
	retryState(now: number): RetryState;
};

/** An attempt that has been prepared beside another one. It is made, or discarded. */
export type AnotherAttempt = {readonly prepared: PreparedAttempt; discard(): void};

/** An attempt at a server that could not be prepared, as if the server had refused it. */
export type RefusedAttempt = {readonly kind: 'unprepared'; readonly attempt: PreparedAttempt; readonly result: AttemptResult};

export class NextAttempt {
	static create(options: NextAttemptOptions): NextAttempt {
		return new NextAttempt(options);
	}

	readonly #preparation: AttemptPreparation;
	/** A token of the retry budget has been taken for the next attempt at a server. */
	#hasToken = false;

	private constructor(private readonly options: NextAttemptOptions) {
		const {parts, request, records} = options;
		this.#preparation = AttemptPreparation.create(parts, request.id, records);
	}

	/** Takes a token of the retry budget for the next attempt at a server, unless it has one. Returns whether it has. */
	takeToken(): boolean {
		this.#hasToken ||= this.#budget.tryRetry();
		return this.#hasToken;
	}

	/** Returns the token of an attempt that is not made. */
	giveTokenBack(): void {
		if (this.#hasToken) {
			this.#hasToken = false;
			this.#budget.giveBack();
		}
	}

	/** Prepares an attempt at a destination. The placement is open when this returns, before the promise resolves. */
	async prepare(destination: Destination, now: number): Promise<PreparedAttempt | RefusedAttempt> {
		this.#hasToken = false;
		if (destination.kind === 'host') {
			return destination;
		}

		const {choice} = destination;
		const preparation = await this.#prepare(choice, now);
		if (preparation.kind === 'prepared') {
			return preparation.attempt;
		}

		return {
			kind: 'unprepared',
			attempt: {
				kind: 'server', choice, memory: undefined, placedAt: now,
			},
			result: preparation.result,
		};
	}

	/**
	 * Prepares an attempt at a server outside the first of the `exclusions` that leaves one, or through another host if this one has no
	 * path to the servers, and takes its token of the retry budget.
	 * `runs` counts the attempts that may have run or are running.
	 */
	async prepareAnother(runs: number, exclusions: Exclusions): Promise<AnotherAttempt | undefined> {
		const {
			parts, request, records, destinations, retryState,
		} = this.options;
		const budget = this.#budget;
		if (parts.dispatcher.mayWait(request.service)) {
			this.giveTokenBack();
		}

		// Elsewhere, a token for an attempt that found no server is lost, as that attempt was decided on.
		this.#hasToken = false;
		let hasToken = false;
		try {
			const now = parts.clock();
			hasToken = canRunAgain({...retryState(now), runs}) && budget.tryRetry();
			const prepared = hasToken ? await this.#prepareChoice(destinations.chooseAnother(exclusions, now), now) : undefined;
			if (prepared) {
				hasToken = false;
				return {
					prepared,
					discard: () => {
						budget.giveBack();
						this.close(prepared, false);
					},
				};
			}
		} catch (err) {
			records.logError(err);
		}

		if (hasToken) {
			budget.giveBack();
		}

		return undefined;
	}

	close(prepared: PreparedAttempt, isAnswered: boolean): void {
		this.#preparation.close(prepared, isAnswered);
	}

	get #budget(): RetryLimit {
		const {parts, request} = this.options;
		return parts.retryBudget(request.service.name);
	}

	async #prepareChoice(choice: Destination | undefined, now: number): Promise<PreparedAttempt | undefined> {
		if (choice?.kind !== 'server') {
			return choice;
		}

		const prepared = await this.#prepare(choice.choice, now);
		return prepared.kind === 'prepared' ? prepared.attempt : undefined;
	}

	async #prepare(choice: ServerChoice, now: number): ReturnType<AttemptPreparation['prepare']> {
		const {parts: {dispatcher, roomShares}, request, records} = this.options;
		records.guard(() => {
			dispatcher.recordPlacement({id: request.id, lane: request.service.name, urgency: urgencyOf(request, roomShares)}, now);
		});
		return this.#preparation.prepare(choice, now);
	}
}
