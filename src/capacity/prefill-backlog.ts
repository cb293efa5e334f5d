/** Estimate of the prefill work that waits at one backend server, by priority. Used for placement only, never for limits. */

const MAX_RANKS = 10;

/** Usual number of prompt tokens that an engine prefills in one step. A more urgent prompt waits for the step under way. */
const STEP_TOKENS = 2048;

/** Work drains at the prefill rate, the most urgent first. */
export class PrefillBacklog {
	readonly #tokens = Array.from({length: MAX_RANKS}, () => 0);
	#updatedAtMs: number | undefined;

	constructor(private readonly tokensPerSecond: number) {}

	/** Adds the tokens of a granted prompt. */
	add(rank: number, tokens: number, now: number): void {
		this.#drain(now);
		this.#tokens[Math.min(rank, MAX_RANKS - 1)]! += tokens;
	}

	/** Takes over the pending tokens that the backend server itself reported. */
	reconcile(pendingTokens: number, now: number): void {
		this.#drain(now);
		let excess = this.#tokens.reduce((sum, tokens) => sum + tokens, 0) - pendingTokens;
		for (let rank = 0; rank < MAX_RANKS && excess > 0; rank++) {
			const taken = Math.min(excess, this.#tokens[rank]!);
			this.#tokens[rank]! -= taken;
			excess -= taken;
		}
	}

	/**
	 * Milliseconds until work of `rank` or more urgent and then `tokens` of its own would be prefilled. Less urgent work
	 * counts with half a step, so that an idle server goes before one that prefills a long prompt.
	 */
	estimateMs(rank: number, tokens: number, now: number): number {
		this.#drain(now);
		let ahead = 0;
		for (let index = 0; index <= Math.min(rank, MAX_RANKS - 1); index++) {
			ahead += this.#tokens[index]!;
		}

		const isStepUnderWay = this.#tokens.slice(rank + 1).some(tokens => tokens > 0);
		const stepTokens = isStepUnderWay ? STEP_TOKENS / 2 : 0;
		return (ahead + stepTokens + tokens) * 1000 / this.tokensPerSecond;
	}

	#drain(now: number): void {
		let drained = Math.max(0, now - (this.#updatedAtMs ?? now)) * this.tokensPerSecond / 1000;
		this.#updatedAtMs = now;
		for (let rank = 0; rank < MAX_RANKS && drained > 0; rank++) {
			const taken = Math.min(drained, this.#tokens[rank]!);
			this.#tokens[rank]! -= taken;
			drained -= taken;
		}
	}
}
