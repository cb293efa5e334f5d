import {describe, expect, it} from 'vitest';
import {readSettings} from '../src/daemon/settings.js';
import {createLogger, formatLogfmt} from '../src/util/logger.js';
import {completeFlags} from './fixtures/settings.js';

const flagsWithout = (flag: string): readonly string[] => completeFlags.toSpliced(completeFlags.indexOf(flag), 2);

describe('settings', () => {
	it('should prefer flags to environment variables, and fill in defaults', () => {
		const environment = {FIREFLYPORT_REGION: 'other', FIREFLYPORT_DRAIN_LAG_MS: '20'};
		const settings = readSettings(completeFlags, environment);
		expect(settings).toMatchObject({
			region: 'pt-norte', drainLagMs: 20, logLevel: 'info', listen: {host: '127.0.0.1', port: 0}, hostList: 'http://127.0.0.1:9',
		});
	});

	it('should report the flag, the value and the accepted format of an invalid setting', () => {
		const cases: ReadonlyArray<readonly [readonly string[], RegExp]> = [
			[[...flagsWithout('--listen'), '--listen', 'localhost:80'], /^--listen "localhost:80" is not accepted; accepted is IP:PORT/v],
			[[...flagsWithout('--listen'), '--listen', '10.0.0.256:80'], /^--listen "10\.0\.0\.256:80" is not accepted/v],
			[[...flagsWithout('--object-api'), '--object-api', 'http://objects.example:1'], /^--object-api .* with an IP number/v],
			[[...completeFlags, '--drain-lag-ms', '1.5'], /^--drain-lag-ms "1\.5" is not accepted; accepted is a whole number of milliseconds/v],
			[[...completeFlags, '--log-level', 'loud'], /one of error, warn, info, debug/v],
			[[...completeFlags, '--region', 'a'], /^--region is given 2 times/v],
			[flagsWithout('--region'), /^--region \(or FIREFLYPORT_REGION\) is missing/v],
			[[...completeFlags, '--statsd'], /^--statsd has no value/v],
			[[...completeFlags, '--peer-lisen', '127.0.0.1:1'], /^unknown flag --peer-lisen/v],
			[[...completeFlags, 'extra'], /^argument "extra" is not accepted/v],
		];
		for (const [argv, message] of cases) {
			expect(() => readSettings(argv, {})).toThrow(message);
		}
	});

	it('should report the environment variable that has an invalid value', () => {
		expect(() => readSettings(completeFlags, {FIREFLYPORT_MAX_BODY_BYTES: '10'})).toThrow(/^FIREFLYPORT_MAX_BODY_BYTES "10" is not accepted/v);
	});
});

describe('log lines', () => {
	it('should quote values that would make a key=value line ambiguous', () => {
		expect(formatLogfmt({
			a: 'x y', b: 'q"', c: 1, d: undefined, e: '', f: 'l\nm', g: 'k=v',
		})).toBe(String.raw`a="x y" b="q\"" c=1 e="" f="l\nm" g="k=v"`);
	});

	it('should write one line for each event at or above the level', () => {
		const lines: string[] = [];
		const logger = createLogger('info', {daemon: 'd1'}, line => {
			lines.push(line);
		});
		logger.debug('hidden');
		logger.info('listening', {address: '127.0.0.1:1'});
		logger.info('listening', {address: '127.0.0.1:1'});
		expect(lines).toHaveLength(2);
		expect(lines[0]).toMatch(/^time=\S+ level=info event=listening daemon=d1 address=127\.0\.0\.1:1$/v);
	});
});
