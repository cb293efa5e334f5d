/** Random choice among items in proportion to their weights. */

/** `uniform` is a random number in [0, 1). Returns undefined if there are no items. */
export function chooseWeighted<T>(items: readonly T[], weightOf: (item: T) => number, uniform: number): T | undefined {
	let remaining = uniform * items.reduce((sum, item) => sum + weightOf(item), 0);
	return items.find(item => {
		remaining -= weightOf(item);
		return remaining < 0;
	}) ?? items.at(-1);
}
