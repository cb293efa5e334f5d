import {expect, it} from 'vitest';
import {COLD_RATE, coldRequests, MIN_COLD_SHARE} from '../fixtures/cold-load.js';

it.each([
	{daemons: 9, requestsPerSecond: 60}, {daemons: 24, requestsPerSecond: 72},
])('should use the rate of a cold server with $daemons daemons that hear each other, at $requestsPerSecond requests a second', load => {
	expect(coldRequests(load)).toBeGreaterThan(MIN_COLD_SHARE * COLD_RATE * 10);
});
