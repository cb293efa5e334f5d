/** Counters of an engine stand-in, kept across boots. */

/** Number of leading characters of a prompt by which starts are counted. */
export const PROMPT_HEAD_CHARACTERS = 48;

export class EngineCounts {
	static create(): EngineCounts {
		return new EngineCounts();
	}

	crashes = 0;
	overloadCrashes = 0;
	maxColdRequests = 0;
	maxColdPrefillTokens = 0;
	maxKvTokensHeld = 0;
	streamsStarted = 0;
	streamsFinished = 0;
	streamsFailed = 0;
	streamsCancelled = 0;
	/** Streams freed because their time limit expired, including finished ones. */
	streamsExpired = 0;
	streamsResumed = 0;
	streamsImported = 0;
	segmentsStarted = 0;
	segmentsFreed = 0;
	segmentsExpired = 0;
	refused = 0;
	duplicates = 0;
	prefilledTokens = 0;
	producedTokens = 0;
	cachedTokens = 0;
	ordersApplied = 0;
	ordersRefused = 0;
	/** Orders that were applied although a higher fencing number had already been seen. */
	staleOrdersApplied = 0;
	highestFencing = 0;

	/** Number of streams and segments started, by the first characters of their prompt. */
	readonly startsByPrompt: Readonly<Record<string, number>> = {};

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Records the start of a stream or segment. */
	recordStart(prompt: string): void {
		const starts = this.startsByPrompt as Record<string, number>;
		const head = prompt.slice(0, PROMPT_HEAD_CHARACTERS);
		starts[head] = (starts[head] ?? 0) + 1;
	}

	/** Updates the maximum load of a cold engine. */
	recordColdLoad(requests: number, prefillTokens: number): void {
		this.maxColdRequests = Math.max(this.maxColdRequests, requests);
		this.maxColdPrefillTokens = Math.max(this.maxColdPrefillTokens, prefillTokens);
	}
}
