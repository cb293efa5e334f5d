import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {describe, expect, it} from 'vitest';

const root = path.resolve(import.meta.dirname, '../src');
const aggregates = new Set(['configuration', 'membership', 'admission', 'capacity', 'routing', 'streams', 'operations', 'orders', 'service-levels']);
const files = readdirSync(root, {recursive: true, encoding: 'utf8'}).filter(file => file.endsWith('.ts'));

/** Relative imports of a source file, as paths relative to `src/`. */
function importsOf(file: string): readonly string[] {
	const text = readFileSync(path.join(root, file), 'utf8');
	const specifiers = [...text.matchAll(/from '(?<specifier>\.[^']+)'/gv)].map(match => match.groups!.specifier!);
	return specifiers.map(specifier => path.relative(root, path.resolve(root, path.dirname(file), specifier)));
}

describe('import direction', () => {
	it('should not import code from outside src, such as testing code', () => {
		const violations = files.filter(file => importsOf(file).some(target => target.startsWith('..')));
		expect(files.length).toBeGreaterThan(5);
		expect(violations).toEqual([]);
	});

	it('should not import the daemon or the command-line tool from aggregates', () => {
		const violations = files
			.filter(file => aggregates.has(file.split(path.sep)[0]!))
			.filter(file => importsOf(file).some(target => /^(?:daemon|cli)[\/]/v.test(target)));
		expect(violations).toEqual([]);
	});
});
