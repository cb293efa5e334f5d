/** Estimate of the pending prefill work at one backend server, by priority. Used for placement only, never for limits. */

const RANK_COUNT = 10;

/** Typical number of prompt tokens that an engine prefills in one step. A more urgent prompt waits for the current step to end. */
const STEP_TOKENS = 2048;

/** Pending tokens drain at the prefill rate, most urgent first. */
export class PrefillBacklog {
	readonly #tokens = Array.from({length: RANK_COUNT}, () => 0);
	#updatedAtMs: number | undefined;

	constructor(private readonly tokensPerSecond: number) {}

	/** Adds the tokens of a granted prompt. */
	add(rank: number, tokens: number, now: number): void {
		this.#drain(now);
		this.#tokens[Math.min(rank, RANK_COUNT - 1)]! += tokens;
	}

	/** Lowers the estimate to the pending tokens that the backend server reported. */
	reconcile(pendingTokens: number, now: number): void {
		this.#drain(now);
		let excess = this.#tokens.reduce((sum, tokens) => sum + tokens, 0) - pendingTokens;
		for (let rank = 0; rank < RANK_COUNT && excess > 0; rank++) {
			const taken = Math.min(excess, this.#tokens[rank]!);
			this.#tokens[rank]! -= taken;
			excess -= taken;
		}
	}

	/**
	 * Milliseconds until the pending work of `rank` or more urgent, followed by `tokens`, would be prefilled. Less urgent
	 * work counts as half a step, so that an idle server is preferred to one that is prefilling a long prompt.
	 */
	estimateMs(rank: number, tokens: number, now: number): number {
		this.#drain(now);
		let ahead = 0;
		for (let index = 0; index <= Math.min(rank, RANK_COUNT - 1); index++) {
			ahead += this.#tokens[index]!;
		}

		const isStepUnderWay = this.#tokens.slice(rank + 1).some(tokens => tokens > 0);
		const stepTokens = isStepUnderWay ? STEP_TOKENS / 2 : 0;
		return (ahead + stepTokens + tokens) * 1000 / this.tokensPerSecond;
	}

	#drain(now: number): void {
		let drained = Math.max(0, now - (this.#updatedAtMs ?? now)) * this.tokensPerSecond / 1000;
		this.#updatedAtMs = now;
		for (let rank = 0; rank < RANK_COUNT && drained > 0; rank++) {
			const taken = Math.min(drained, this.#tokens[rank]!);
			this.#tokens[rank]! -= taken;
			drained -= taken;
		}
	}
}
