/** Durations on the command line: a number of seconds, alone or with a unit, as in `45`, `45s` and `2m`. */
import {z} from 'zod';

const durationPattern = /^(?<amount>\d+(?:\.\d+)?)(?<unit>s|m)?$/v;
const SECONDS_PER_MINUTE = 60;

/** Parses a positive duration to seconds. */
export const durationSchema = z.union([z.string(), z.number()]).transform((value, context) => {
	const groups = durationPattern.exec(String(value))?.groups;
	const seconds = Number(groups?.amount) * (groups?.unit === 'm' ? SECONDS_PER_MINUTE : 1);
	if (!groups || seconds <= 0) {
		context.addIssue({code: 'custom', message: `expected a positive duration such as 45, 45s or 2m, received ${JSON.stringify(value)}`});
		return z.NEVER;
	}

	return seconds;
});
