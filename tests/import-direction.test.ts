import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {describe, expect, it} from 'vitest';

const root = path.resolve(import.meta.dirname, '../src');
const aggregates = new Set(['configuration', 'membership', 'admission', 'capacity', 'routing', 'streams', 'operations', 'orders', 'service-levels']);
const files = readdirSync(root, {recursive: true, encoding: 'utf8'}).filter(file => file.endsWith('.ts'));

/** Folders under `src/` (or the path) that a source file imports. */
function importsOf(file: string): readonly string[] {
	const text = readFileSync(path.join(root, file), 'utf8');
	const specifiers = [...text.matchAll(/from '(?<specifier>\.[^']+)'/gv)].map(match => match.groups!.specifier!);
	return specifiers.map(specifier => path.relative(root, path.resolve(root, path.dirname(file), specifier)));
}

describe('import direction', () => {
	it('should keep everything under src free of testing code', () => {
		const wrong = files.filter(file => importsOf(file).some(target => target.startsWith('..')));
		expect(files.length).toBeGreaterThan(5);
		expect(wrong).toEqual([]);
	});

	it('should keep aggregates free of the daemon and the command-line tool', () => {
		const wrong = files
			.filter(file => aggregates.has(file.split(path.sep)[0]!))
			.filter(file => importsOf(file).some(target => /^(?:daemon|cli)[\/]/v.test(target)));
		expect(wrong).toEqual([]);
	});
});
