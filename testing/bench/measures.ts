/** All measures, in the order in which they are printed. */
import {blocking} from './blocking.js';
import {controlCost} from './control-cost.js';
import {daemonCost} from './daemon-cost.js';
import {decisionCost} from './decision-cost.js';
import {domainLeave, domainLoss} from './domain-change.js';
import {firstToken} from './first-token.js';
import {flood} from './flood.js';
import {longPromptShare} from './long-prompt-share.js';
import type {Measure} from './measure.js';
import {tokenGap} from './token-gap.js';

export const measures: readonly Measure[] = [firstToken, blocking, longPromptShare, flood, domainLeave, domainLoss, tokenGap, controlCost, daemonCost, decisionCost];
