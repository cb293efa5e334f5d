/** Chooses among items in proportion to their weights. */

/** `uniform` is a number in [0, 1). Undefined without items. */
export function chooseWeighted<T>(items: readonly T[], weightOf: (item: T) => number, uniform: number): T | undefined {
	let rest = uniform * items.reduce((sum, item) => sum + weightOf(item), 0);
	return items.find(item => {
		rest -= weightOf(item);
		return rest < 0;
	}) ?? items.at(-1);
}
