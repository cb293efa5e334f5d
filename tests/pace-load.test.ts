import {describe, expect, it} from 'vitest';
import {limitMethods} from '../testing/baselines/limit-methods.js';
import {createPace, createStrictPace} from '../testing/bench/server-pace.js';
import {measurePaceLoad, type PaceLoad} from '../testing/load/pace-loads.js';

/** Share of the callers by which two runs of the same load differ when their requests go to other servers. */
const NOISE = 0.01;

const rules = {off: limitMethods['no limit']!, strict: createStrictPace, preference: createPace};

describe.each([10, 77])('%i daemons with the pace as a preference', daemons => {
	const run = (load: PaceLoad, rule: keyof typeof rules) => measurePaceLoad(load, {daemons, createMethod: rules[rule], seed: 1});

	it('should refuse nothing and send fewer requests that get slow when the servers of a domain return in one second', () => {
		// Guards against a pace that costs callers more than the flood which it prevents.
		const [off, preference] = [run('a domain returns', 'off'), run('a domain returns', 'preference')];
		expect(preference.refused).toBe(0);
		expect(preference.rejected + preference.slow).toBeLessThan(off.rejected + off.slow);
		expect(preference.inTime).toBeGreaterThanOrEqual(off.inTime - NOISE);
	});

	it.each(['overload', 'all servers fail for 1 s', 'all servers start', 'all daemons start anew'] as const)('should answer as many as without a pace: %s', load => {
		// Guards against limits that all fall on evidence of an overload.
		const [off, preference] = [run(load, 'off'), run(load, 'preference')];
		expect(preference.refused).toBe(0);
		expect(preference.unanswered).toBeLessThanOrEqual(off.unanswered + NOISE);
		expect(preference.inTime).toBeGreaterThanOrEqual(off.inTime - NOISE);
	});

	it('should answer more in an overload than with limits that refuse and count each bad answer against its server', () => {
		expect(run('overload', 'strict').unanswered).toBeGreaterThan(run('overload', 'preference').unanswered + NOISE);
	});

	it('should send few requests to a server that lies about its health', () => {
		// Guards against a server that fails at once and so always looks the emptiest.
		expect(run('a server that lies', 'off').failed).toBeGreaterThan(100);
		expect(run('a server that lies', 'preference').failed).toBeLessThanOrEqual(30);
	});
});
