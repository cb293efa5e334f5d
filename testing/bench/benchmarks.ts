/** All benchmarks, in the order in which they run. */
import {blocking} from './blocking.js';
import {claims} from './claims.js';
import {configurationDelivery} from './configuration-delivery.js';
import {controlCost} from './control-cost.js';
import {daemonCost} from './daemon-cost.js';
import {decisionCost} from './decision-cost.js';
import {endlessBytes} from './endless-bytes.js';
import {evidenceCost} from './evidence-cost.js';
import {domainLeave, domainLoss} from './domain-change.js';
import {firstToken} from './first-token.js';
import {flood} from './flood.js';
import {longPromptShare} from './long-prompt-share.js';
import type {Benchmark} from './benchmark.js';
import {serverPace} from './server-pace.js';
import {tokenGap} from './token-gap.js';

export const benchmarks: readonly Benchmark[] = [
	firstToken, blocking, longPromptShare, flood, domainLeave, domainLoss, tokenGap, daemonCost, controlCost, configurationDelivery, claims, decisionCost, evidenceCost, endlessBytes, serverPace,
];
