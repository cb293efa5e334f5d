/** One row of a benchmark table, and whether it is within its bound. */

/** Bound of a row, from a limit stated in the requirements. A row of kind `none` is informational. */
export type Bound =
	| {readonly kind: 'at_most'; readonly limit: number}
	| {readonly kind: 'at_least'; readonly limit: number}
	| {readonly kind: 'none'};

export type ResultRow = {
	readonly measure: string;
	readonly metric: string;
	readonly unit: string;
	readonly baseline: number | undefined;
	readonly value: number;
	readonly bound: Bound;
	/** Details of the run, for example counts of outcomes. */
	readonly note?: string;
};

/** Whether a row is within its bound. A value that is not a number fails every bound. */
export function isWithinBound({value, bound}: ResultRow): boolean {
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

const formatValue = (value: number): string => Number.isFinite(value) ? String(Number(value.toPrecision(4))) : '-';

const formatBound = (bound: Bound): string => bound.kind === 'none' ? '' : `${bound.kind === 'at_most' ? '≤' : '≥'} ${bound.limit}`;

/** Formats rows as an aligned table. */
export function formatTable(rows: readonly ResultRow[]): string {
	const head = ['metric', 'unit', 'baseline', 'this version', 'ratio', 'bound', 'verdict', 'note'];
	const cells = rows.map(row => [
		row.metric,
		row.unit,
		row.baseline === undefined ? '' : formatValue(row.baseline),
		formatValue(row.value),
		row.baseline === undefined ? '' : formatValue(row.value / row.baseline),
		formatBound(row.bound),
		row.bound.kind === 'none' ? '' : (isWithinBound(row) ? 'pass' : 'FAIL'),
		row.note ?? '',
	]);
	const widths = head.map((title, column) => Math.max(title.length, ...cells.map(line => line[column]!.length)));
	const formatLine = (values: readonly string[]) => values.map((value, column) => value.padEnd(widths[column]!)).join('  ').trimEnd();
	return [formatLine(head), ...cells.map(values => formatLine(values))].join('\n');
}
