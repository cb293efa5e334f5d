import {describe, expect, it} from 'vitest';
import {parseScenario} from '../testing/scenario/parse-scenario.js';

const deploymentLine = 'deployment sacaria daemons 2 per domain engines 3 per domain';
const parseLines = (...lines: readonly string[]) => parseScenario([deploymentLine, ...lines].join('\n'));

describe('scenario language', () => {
	it('should parse every part of a scenario', () => {
		const scenario = parseLines(
			'# a comment',
			'engines run 20 times as fast',
			'at 2s kill daemon guimaraes-1',
			'at 1.5s object-api lose answers 30% late effect for 500ms  # and a comment',
			'from 0s to 10s send 20 short per second',
			'from 1s send 0.5 bookings per second repeat through another daemon',
			'expect no work to engine braga 2 after 5s',
		);
		expect(scenario).toMatchObject({
			deployment: {example: 'sacaria', daemons: 2, engines: 3},
			speed: 20,
			startsWarm: true,
			durationMs: 13_000,
			faults: [
				{atMs: 2000, fault: {kind: 'kill-daemon', daemon: 'guimaraes-1'}},
				{
					atMs: 1500, fault: {
						kind: 'object-api-loses-answers', share: 0.3, effect: 'late', forMs: 500,
					},
				},
			],
			loads: [
				{fromMs: 0, toMs: 10_000, load: {kind: 'prompts', lengthClass: 'short', perSecond: 20}},
				{fromMs: 1000, toMs: undefined, load: {kind: 'bookings', perSecond: 0.5, repeat: true}},
			],
			expectations: [{place: {line: 8, column: 1}, statement: {expectation: {kind: 'no-work-to-engine', engine: {domain: 'braga', number: 2}, afterMs: 5000}}}],
		});
	});

	it.each([
		['at 2s kill demon guimaraes-1', 'line 2, column 12: expected "daemon", found "demon"'],
		['at 2 kill daemon guimaraes-1', 'line 2, column 4: expected a time such as 200ms, 2s or 1min, found "2"'],
		['at 2s kill daemon', 'line 2, column 18: expected the name of a daemon such as braga-1, found the end of the line'],
		['  expect no request cut now', 'line 2, column 25: expected the end of the line, found "now"'],
		['at 2s cold engine bragga 1', 'line 2, column 19: there is no failure domain bragga; there are guimaraes, famalicao, braga'],
		['at 2s kill daemon porto-1', 'line 2, column 19: there is no daemon porto-1; daemons are named as guimaraes-1'],
		['from 5s to 2s send 1 long per second', 'line 2, column 12: the load ends before it starts'],
		[deploymentLine, 'line 2, column 1: the deployment is stated twice'],
	])('should report the position of the error in %j', (line, message) => {
		expect(() => parseLines(line)).toThrow(message);
	});
});
