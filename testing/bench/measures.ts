/** All measures, in the order in which they are printed. */
import type {Measure} from './measure.js';

export const measures: readonly Measure[] = [];
