/** One line of a benchmark table and its verdict. */

/** The bound of a row, from a stated target: `value` compared with `limit`, or no bound for information. */
export type Bound =
	| {readonly kind: 'at_most'; readonly limit: number}
	| {readonly kind: 'at_least'; readonly limit: number}
	| {readonly kind: 'none'};

export type Row = {
	readonly measure: string;
	readonly metric: string;
	readonly unit: string;
	readonly baseline: number | undefined;
	readonly value: number;
	readonly bound: Bound;
	/** Conditions of the run, for example counts of outcomes. */
	readonly note?: string;
};

/** Whether a row is within its bound. A value that is not a number fails every bound. */
export function isWithinBound({value, bound}: Row): boolean {
	switch (bound.kind) {
		case 'at_most': {
			return value <= bound.limit;
		}

		case 'at_least': {
			return value >= bound.limit;
		}

		case 'none': {
			return true;
		}
	}
}

const format = (value: number): string => Number.isFinite(value) ? String(Number(value.toPrecision(4))) : '-';

const formatBound = (bound: Bound): string => bound.kind === 'none' ? '' : `${bound.kind === 'at_most' ? '≤' : '≥'} ${bound.limit}`;

/** Prints rows as one aligned table for each measure. */
export function formatTable(rows: readonly Row[]): string {
	const head = ['metric', 'unit', 'baseline', 'this version', 'ratio', 'bound', 'verdict', 'note'];
	const cells = rows.map(row => [
		row.metric,
		row.unit,
		row.baseline === undefined ? '' : format(row.baseline),
		format(row.value),
		row.baseline === undefined ? '' : format(row.value / row.baseline),
		formatBound(row.bound),
		row.bound.kind === 'none' ? '' : (isWithinBound(row) ? 'pass' : 'FAIL'),
		row.note ?? '',
	]);
	const widths = head.map((title, column) => Math.max(title.length, ...cells.map(line => line[column]!.length)));
	const line = (values: readonly string[]) => values.map((value, column) => value.padEnd(widths[column]!)).join('  ').trimEnd();
	return [line(head), ...cells.map(values => line(values))].join('\n');
}
