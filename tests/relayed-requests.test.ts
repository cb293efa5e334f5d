import {describe, expect, it} from 'vitest';
import {wireFormat} from '../platform/wire-format.js';
import {relayedResponseKind} from '../src/relaying/relayed-response.js';

const CLIENT_HEADERS = [
	'Host',
	'desk.example',
	'Fireflyport-Attempt-Id',
	'9c41',
	'Fireflyport-Credential',
	'key',
	'Fireflyport-Deadline-Ms',
	'3000',
	'Last-Event-Id',
	'2',
	'Connection',
	'X-Hop',
	'X-Hop',
	'1',
	'Fireflyport-Relayed',
	'1',
	'Content-Length',
	'8',
	'X-Other',
	'kept',
];

describe('request that another host relays', () => {
	it('should arrive with the headers of the client, its key and what is left of its time', () => {
		expect(wireFormat.relayHeaders(CLIENT_HEADERS, {deadlineMs: 1200, lastEventId: 7})).toEqual([
			'Host', 'desk.example', 'Fireflyport-Attempt-Id', '9c41', 'Fireflyport-Credential', 'key', 'X-Other', 'kept', 'fireflyport-deadline-ms', '1200', 'last-event-id', '7',
		]);
	});

	it('should reach servers without the mark of a relayed request', () => {
		const headers = wireFormat.backendHeaders(CLIENT_HEADERS, {
			instanceId: 'i-1', deadlineMs: 1, workspace: undefined, lastEventId: undefined, helpers: [], urgency: undefined,
		});
		expect(headers.map(header => header.toLowerCase())).not.toContain('fireflyport-relayed');
	});

	it.each([
		{status: 200, isSigned: true, kind: 'answered'},
		{status: 500, isSigned: true, kind: 'answered'},
		{status: 503, isSigned: false, kind: 'refused'},
		{status: 429, isSigned: false, kind: 'refused'},
		{status: 404, isSigned: false, kind: 'refused'},
		{status: 401, isSigned: false, kind: 'refused'},
		{status: 200, isSigned: false, kind: 'failed'},
		{status: 502, isSigned: false, kind: 'failed'},
		{status: 504, isSigned: false, kind: 'failed'},
	] as const)('should be $kind by status $status (signed: $isSigned)', ({status, isSigned, kind}) => {
		expect(relayedResponseKind(status, isSigned)).toBe(kind);
	});
});
