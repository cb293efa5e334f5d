import {expect, it} from 'vitest';
import {PromptQuarantine} from '../src/quarantine/prompt-quarantine.js';
import {createLogger} from '../src/util/logger.js';
import {MAX_LATE_REQUESTS, REQUEST_CRASHES_BEFORE_WINDOW, STABLE_WINDOW_MS} from './fixtures/crash-rules.js';

const STEP_MS = 10;
const END_MS = 60_000;
/** Interval in ms at which other requests begin to be answered. */
const START_INTERVAL_MS = 50;
const DECISION_INTERVAL_MS = 250;
/** Time in ms that a server runs the request before it crashes. */
const CRASH_DELAY_MS = 50;

it.each([
	{copies: 4, intervalMs: 4000},
	{copies: 8, intervalMs: 4000},
	{copies: 6, intervalMs: 10_000},
])('should count the crashes of a request that comes in bursts of $copies copies every $intervalMs ms each by itself', ({copies, intervalMs}) => {
	const quarantine = PromptQuarantine.create({logger: createLogger('error'), publish() {}, save() {}}); // eslint-disable-line @typescript-eslint/no-empty-function
	const subjects = {parts: [], identity: {digest: 'deadly'}};
	const sent: number[] = [];
	for (let now = 0; now <= END_MS; now += STEP_MS) {
		if (now % START_INTERVAL_MS === 0) {
			quarantine.recordStart(now);
		}

		for (const [index] of sent.entries()) {
			if (sent[index]! + CRASH_DELAY_MS === now) {
				quarantine.reportCrash({server: `server-${index}`, request: `attempt-${index}`, subjects}, now);
			}
		}

		if (now % intervalMs === 0 && !quarantine.findRefused(subjects, now)) {
			sent.push(...Array.from({length: copies}, () => now));
		}

		if (now % DECISION_INTERVAL_MS === 0) {
			quarantine.publishDue(now);
		}
	}

	const deadline = sent[REQUEST_CRASHES_BEFORE_WINDOW - 1]! + CRASH_DELAY_MS + STABLE_WINDOW_MS;
	expect(sent.filter(at => at > deadline).length).toBeLessThanOrEqual(MAX_LATE_REQUESTS);
});
