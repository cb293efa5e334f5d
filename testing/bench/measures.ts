/** All measures, in the order in which they are printed. */
import {blocking} from './blocking.js';
import {domainLeave, domainLoss} from './domain-change.js';
import {firstToken} from './first-token.js';
import type {Measure} from './measure.js';

export const measures: readonly Measure[] = [firstToken, blocking, domainLeave, domainLoss];
