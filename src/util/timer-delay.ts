/** Delays of timers. */

/** Longest delay in ms that Node accepts: the largest signed 32-bit integer. A timer with a longer one fires at once. */
const MAX_TIMER_DELAY_MS = 2_147_483_647;

/** Limits a delay in ms to what Node accepts. */
export const timerDelay = (ms: number): number => Math.min(ms, MAX_TIMER_DELAY_MS);
