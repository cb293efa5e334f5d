import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {describe, expect, it} from 'vitest';
import {listSettings} from '../src/daemon/settings.js';

const root = path.resolve(import.meta.dirname, '..');
const operatorPage = readFileSync(path.join(root, 'docs/operators.md'), 'utf8');
/** The events of the gateway are documented on a separate page. */
const documentation = operatorPage + readFileSync(path.join(root, 'docs/OPERATIONS.md'), 'utf8');

describe('operator documentation', () => {
	it('should list each setting with its variable and default', () => {
		const rows = [...operatorPage.matchAll(/^\| `(?<flag>--[a-z\-]+)` \| `(?<variable>[A-Z_]+)` \| (?<standard>\S+) \|/gmv)].map(({groups}) => ({...groups}));
		expect(rows).toEqual(listSettings().map(row => ({...row, standard: row.standard ?? 'required'})));
	});

	it('should document each log event', () => {
		const folders = ['src', 'platform'];
		const files = folders.flatMap(folder => readdirSync(path.join(root, folder), {recursive: true, encoding: 'utf8'}).map(file => path.join(root, folder, file)));
		const sources = files.filter(file => file.endsWith('.ts')).map(file => readFileSync(file, 'utf8'));
		const events = sources.flatMap(text => [...text.matchAll(/(?:logger\??\.(?:error|warn|info|debug)|\blog)\('(?<event>[a-z_]+)'/gv)].map(({groups}) => groups!.event!));
		expect(events.length).toBeGreaterThan(20);
		expect([...new Set(events)].filter(event => !documentation.includes(`\`${event}\``))).toEqual([]);
	});

	it('should document each metric of the gateway', () => {
		const names = [...readFileSync(path.join(root, 'src/gateway/gateway-metrics.ts'), 'utf8').matchAll(/'(?<name>fireflyport_[a-z_]+)'/gv)].map(({groups}) => groups!.name!);
		expect(names.length).toBeGreaterThan(10);
		expect(names.filter(name => !documentation.includes(name))).toEqual([]);
	});
});
