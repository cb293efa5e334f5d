import {Buffer} from 'node:buffer';
import {validateHeaderValue} from 'node:http';
import {isIPv4} from 'node:net';
import fc from 'fast-check';
import {
	describe, expect, it,
} from 'vitest';
import {decodeConfiguration} from '../platform/configuration.js';
import {decodeServer} from '../platform/servers.js';
import {parseSettings, SettingsError} from '../platform/settings.js';
import {wireFormat} from '../platform/wire-format.js';
import {parseDatagram} from '../src/fleet/load-message.js';
import {ServerLimits} from '../src/fleet/server-limits.js';
import {EventSplitter} from '../src/forwarding/event-splitter.js';
import {PromptQuarantine} from '../src/quarantine/prompt-quarantine.js';
import {createLogger} from '../src/util/logger.js';
import {platformConfiguration} from './fixtures/gateway-fixture.js';

const ignoreAdjustment = (): void => undefined;

const RUNS = {numRuns: 500};

/** JSON values in which one part of a valid value has been replaced. */
function withOneReplacedPart(valid: unknown): fc.Arbitrary<unknown> {
	const paths = pathsOf(valid);
	return fc.tuple(fc.constantFrom(...paths), fc.jsonValue()).map(([path, replacement]) => replaceAt(valid, path, replacement));
}

type JsonPath = readonly string[];

function pathsOf(value: unknown): readonly JsonPath[] {
	if (typeof value !== 'object' || value === null) {
		return [[]];
	}

	return [[], ...Object.entries(value).flatMap(([key, inner]) => pathsOf(inner).map(path => [key, ...path]))];
}

function replaceAt(value: unknown, [key, ...rest]: JsonPath, replacement: unknown): unknown {
	if (key === undefined) {
		return replacement;
	}

	const copy: unknown = Array.isArray(value) ? [...value as unknown[]] : {...value as object};
	(copy as Record<string, unknown>)[key] = replaceAt((value as Record<string, unknown>)[key], rest, replacement);
	return copy;
}

/** Result of a decoder that may refuse its input with an error. */
function decodeOrRefuse<T>(decode: () => T): T | Error {
	try {
		return decode();
	} catch (err) {
		expect(err).toBeInstanceOf(Error);
		return err as Error;
	}
}

describe('decoders of input from outside', () => {
	it('should read any datagram as a message or as unreadable', () => {
		fc.assert(fc.property(fc.oneof(fc.uint8Array(), fc.json().map(text => Buffer.from(text))), data => {
			const datagram = parseDatagram(data);
			expect(datagram === undefined || Array.isArray(datagram.messages)).toBe(true);
		}), RUNS);
	});

	it('should apply any readable message about prompt parts and limits without an error', () => {
		const origin = {daemon: 'd', domain: 'braga'};
		const messages = [
			{
				kind: 'crashed', ...origin, server: 'i-1', request: 'r', parts: ['a1', 'b2'],
			},
			{kind: 'sound', ...origin, parts: [{part: 'a1', ageMs: 5}]},
			{kind: 'quarantined', parts: [{part: 'a1', remainingMs: 1000}]},
			{
				kind: 'limit', ...origin, server: 'i-1', perSecond: 1.5,
			},
		];
		const valid = {
			as: 'peer', failureDomain: 'braga', cores: 1, messages,
		};
		const limits = ServerLimits.create();
		const quarantine = PromptQuarantine.create({logger: createLogger('error', {}, () => undefined), publish: () => undefined, save: () => undefined});
		let now = 0;
		fc.assert(fc.property(withOneReplacedPart(valid), changed => {
			for (const message of parseDatagram(Buffer.from(JSON.stringify(changed)))?.messages ?? []) {
				now += 10;
				if (message.kind === 'limit') {
					limits.applyNotice(message, now);
				} else if (message.kind === 'crashed' || message.kind === 'sound' || message.kind === 'quarantined') {
					quarantine.receive(message, now);
				}
			}

			quarantine.publishDue(now);
			expect(limits.waitMs('i-1', undefined, now)).toBeGreaterThanOrEqual(0);
		}), RUNS);
	});

	it('should read only hexadecimal ids of prompt parts, and never the last part', () => {
		const entry = fc.oneof(fc.tuple(fc.nat(), fc.nat(9999)).map(([id, tokens]) => `${id.toString(16)}:${tokens}`), fc.string());
		fc.assert(fc.property(fc.array(entry, {maxLength: 80}), entries => {
			const {sharedParts} = wireFormat.readClientMetadata({'fireflyport-prompt-prefix': entries.join(',')});
			expect(sharedParts.every(part => /^[\da-f]{1,64}$/v.test(part))).toBe(true);
			expect(sharedParts.length).toBeLessThan(Math.max(1, entries.join(',').split(',').length));
		}), RUNS);
		expect(wireFormat.readClientMetadata({'fireflyport-prompt-prefix': '5C1e:800,91bd:410,91bd:20,e440:250'}).sharedParts).toEqual(['5c1e', '91bd']);
	});

	it('should never accept a registration without an address, a service, slots and a known state', () => {
		const valid = {
			service: 'desk', address: '10.128.0.9:8080', zone: 'braga', slots: 11, state: 'ready', 'cold-remaining-ms': 400, born: 1_764_800_000_000,
		};
		fc.assert(fc.property(fc.oneof(fc.jsonValue(), withOneReplacedPart(valid)), value => {
			const server = decodeOrRefuse(() => decodeServer({name: 'i-1', revision: 1, value}, 100));
			if (!(server instanceof Error)) {
				expect(server.address).toMatch(/^\d+\.\d+\.\d+\.\d+:\d+$/v);
				const [ip, port] = server.address.split(':');
				expect(isIPv4(ip!)).toBe(true);
				expect(Number(port) >= 1 && Number(port) <= 65_535).toBe(true);
				expect(server.slots).toBeLessThan(1e6);
				expect(server.startedAt === undefined || Number.isSafeInteger(server.startedAt)).toBe(true);
				expect(server.service).not.toBe('');
				expect(server.slots).toBeGreaterThan(0);
				expect(server.coldUntil).toBeGreaterThanOrEqual(100);
			}
		}), RUNS);
	});

	it('should accept only names of servers that a request header can hold', () => {
		const value = {
			service: 'desk', address: '10.128.0.9:8080', zone: 'braga', slots: 11, state: 'ready',
		};
		const name = fc.oneof(fc.string(), fc.string({unit: 'binary'}), fc.constantFrom('', ' ', 'i-1\r\n', 'jo\u0142', 'i'.repeat(300)));
		fc.assert(fc.property(name, chosen => {
			const server = decodeOrRefuse(() => decodeServer({name: chosen, revision: 1, value}, 100));
			if (!(server instanceof Error)) {
				expect(() => {
					validateHeaderValue('fireflyport-target-instance', server.instanceId);
				}).not.toThrow();
				expect(server.instanceId.length > 0 && server.instanceId.length < 300 && server.instanceId === server.instanceId.trim()).toBe(true);
			}
		}), RUNS);
	});

	it('should decode a configuration to usable routes or refuse it', () => {
		fc.assert(fc.property(withOneReplacedPart(platformConfiguration(7)), value => {
			const configuration = decodeOrRefuse(() => decodeConfiguration({name: 'main', revision: 1, value}, ignoreAdjustment));
			if (configuration && !(configuration instanceof Error)) {
				expect(Number.isFinite(configuration.version)).toBe(true);
				expect(configuration.limits.idleTimeoutMs).toBeGreaterThan(0);
				for (const route of configuration.routes) {
					expect(route.timeoutMs).toBeGreaterThan(0);
					expect(route.maxAttempts).toBeGreaterThan(0);
					expect(route.targetLatencyMs).toBeGreaterThan(0);
				}
			}
		}), RUNS);
	});

	it('should refuse settings with an error that names the file', () => {
		fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), text => {
			const settings = decodeOrRefuse(() => parseSettings(text, 'local.json'));
			expect(settings).toBeInstanceOf(SettingsError);
			expect((settings as SettingsError).message).toContain('local.json');
		}), RUNS);
	});

	it('should read numbers from any header values as non-negative or absent', () => {
		const names = ['fireflyport-deadline-ms', 'fireflyport-token-counts', 'fireflyport-length-hint', 'last-event-id', 'fireflyport-attempt-id', 'fireflyport-credential'];
		const value = fc.oneof(fc.string(), fc.constantFrom('-1', 'NaN', '1e999', '0x10', ',', '1,', ' 7 ', '1,2,3'), fc.double().map(String));
		fc.assert(fc.property(fc.dictionary(fc.constantFrom(...names), value), headers => {
			const metadata = wireFormat.readClientMetadata(headers);
			for (const number of [metadata.deadlineMs, metadata.promptTokens, metadata.maxOutputTokens, metadata.outputHint, metadata.lastEventId]) {
				expect(number === undefined || (Number.isFinite(number) && number >= 0)).toBe(true);
			}

			expect(() => wireFormat.readResponseMetadata(200, headers)).not.toThrow();
			expect(() => wireFormat.clientHeaders(headers)).not.toThrow();
		}), RUNS);
	});

	it('should split any bytes of a stream without losing or adding one', () => {
		fc.assert(fc.property(fc.array(fc.uint8Array()), chunks => {
			const splitter = EventSplitter.create();
			const events = chunks.flatMap(chunk => splitter.push(chunk));
			const bytes = events.reduce((sum, event) => sum + event.bytes.length, splitter.pendingBytes);
			expect(bytes).toBe(chunks.reduce((sum, chunk) => sum + chunk.length, 0));
		}), RUNS);
	});
});
