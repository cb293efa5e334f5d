/** What an engine stand-in counts over all its boots. */

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
	/** Streams freed because their time was over, finished ones included. */
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
	/** Orders that were applied although a higher fencing number had been seen. */
	staleOrdersApplied = 0;
	highestFencing = 0;

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Records the load that a cold engine bears. */
	cold(requests: number, prefillTokens: number): void {
		this.maxColdRequests = Math.max(this.maxColdRequests, requests);
		this.maxColdPrefillTokens = Math.max(this.maxColdPrefillTokens, prefillTokens);
	}
}
