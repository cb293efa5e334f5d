/** Writes `record.txt` of a case: what was sent, answered and run, with the time in ms since the start. */
import {closeSync, openSync, writeSync} from 'node:fs';
import path from 'node:path';

export function openRecord(folder) {
	const startedAt = performance.now();
	const file = openSync(path.join(folder, 'record.txt'), 'w');
	const record = (event, fields = {}) => {
		const text = Object.entries(fields).map(([name, value]) => ` ${name}=${value}`).join('');
		writeSync(file, `${(performance.now() - startedAt).toFixed(1).padStart(9)} ${event}${text}\n`);
	};

	return {
		record,
		close() {
			closeSync(file);
		},
	};
}
