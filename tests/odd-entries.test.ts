import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {MetadataStoreClient} from '../platform/metadata-store-client.js';
import {createLogger} from '../src/util/logger.js';
import {HttpStandIn} from './fixtures/http-stand-in.js';

const options = {timeoutMs: 2000};
const DEEP = `${'['.repeat(100_000)}${']'.repeat(100_000)}`;

/** Entries in JSON as other writers leave them, and how a reader has to see them. */
const oddEntries = [
	{label: 'a number', text: '7', name: undefined},
	{label: 'null', text: 'null', name: undefined},
	{label: 'no metadata', text: '{"spec": {}}', name: undefined},
	{label: 'no name', text: '{"metadata": {"revision": 3}, "spec": {}}', name: undefined},
	{label: 'a numeric name', text: '{"metadata": {"name": 7, "revision": 3}, "spec": {}}', name: undefined},
	{label: 'no revision', text: '{"metadata": {"name": "odd"}, "spec": {}}', name: 'odd'},
	{label: 'an infinite revision', text: '{"metadata": {"name": "odd", "revision": 1e400}, "spec": {}}', name: 'odd'},
	{label: 'a text as revision', text: '{"metadata": {"name": "odd", "revision": "7"}, "spec": {}}', name: 'odd'},
	{label: 'a negative revision', text: '{"metadata": {"name": "odd", "revision": -1}, "spec": {}}', name: 'odd'},
	{label: 'NaN as revision', text: '{"metadata": {"name": "odd", "revision": NaN}, "spec": {}}', name: 'odd'},
	{label: 'a deeply nested spec', text: `{"metadata": {"name": "odd", "revision": 3}, "spec": ${DEEP}}`, name: 'odd'},
	{label: 'a deeply nested field', text: `{"metadata": {"name": "odd", "revision": 3}, "spec": {"born": ${DEEP}}}`, name: 'odd'},
] as const;

const sound = (name: string) => `{"metadata": {"name": "${name}", "revision": 4, "a-new-field": 1}, "spec": {"text": "NaN, \\"Infinity\\""}}`;
const soundObject = (name: string) => ({name, revision: 4, value: {text: 'NaN, "Infinity"'}});

let body: string;
let logs: string[];
let standIn: HttpStandIn;
let store: MetadataStoreClient;

beforeEach(async () => {
	logs = [];
	standIn = await HttpStandIn.start((_req, res) => {
		res.writeHead(200, {'content-type': 'application/json'});
		res.end(body);
	});
	store = MetadataStoreClient.create(new URL(standIn.url).host, 'front-1', createLogger('info', {}, line => {
		logs.push(line);
	}));
});

afterEach(async () => {
	await store.close();
	await standIn.close();
});

describe('odd entries among those of the store', () => {
	it.each(oddEntries)('should not hide the other entries of a list: $label', async ({text, name}) => {
		body = `{"entries": [${sound('a')}, ${text}, ${sound('b')}], "has-more": false, "as-of": 9}`;
		const listed = await store.list('servers', options);
		const odd = name === undefined ? [] : [{name, revision: 0, value: null}];
		expect(listed).toEqual({
			kind: 'listed', objects: [soundObject('a'), ...odd, soundObject('b')], era: 0, revision: 9,
		});
	});

	it.each(oddEntries)('should not hide the other events of a watch: $label', async ({text, name}) => {
		const events = [sound('a'), text, sound('b')].map(object => `{"object": ${object}, "deleted": false}`);
		body = `{"events": [7, ${events.join(', ')}], "as-of": 9}`;
		const watched = await store.watch('servers', {era: 0, revision: 3}, 0, options);
		const odd = name === undefined ? [] : [{kind: 'changed', object: {name, revision: 0, value: null}}];
		expect(watched).toEqual({
			kind: 'events', events: [{kind: 'changed', object: soundObject('a')}, ...odd, {kind: 'changed', object: soundObject('b')}], era: 0, revision: 9,
		});
	});

	it('should be logged with their name and the reason, and not again at each read', async () => {
		const page = (revision: string) => `{"entries": [{"metadata": {"name": "odd\\nlevel=error", "revision": ${revision}}}, 7], "has-more": false, "as-of": 9}`;
		body = page('"x"');
		await store.list('servers', options);
		await store.list('servers', options);
		expect(logs).toEqual([
			expect.stringMatching(/event=entry_unreadable kind=servers name="odd\\nlevel=error" message=".*metadata\.revision/v),
			expect.stringMatching(/event=entry_unreadable kind=servers message=.*expected object/v),
		]);
		body = page('null');
		await store.list('servers', options);
		expect(logs).toHaveLength(3);
	});

	it('should not make a list endless when a page names no entry to continue after', async () => {
		body = '{"entries": [{}], "has-more": true, "as-of": 9}';
		expect(await store.list('servers', options)).toMatchObject({kind: 'unavailable', message: expect.stringContaining('names no entry') as string});
	});

	it.each(['1e400', '-1', '"9"', '1.5', '9007199254740993'])('should not be followed from the revision %s of the store', async revision => {
		body = `{"entries": [], "has-more": false, "as-of": ${revision}}`;
		expect(await store.list('servers', options)).toMatchObject({kind: 'unavailable'});
		body = `{"events": [], "as-of": ${revision}}`;
		expect(await store.watch('servers', {era: 0, revision: 3}, 0, options)).toMatchObject({kind: 'unavailable'});
	});
});
