/** Keeps failure domains out that an operator took out, when a whole configuration is applied. */
import {z} from 'zod';

const domainsSchema = z.looseObject({
	failureDomains: z.array(z.looseObject({name: z.string(), state: z.string()})),
});

export type KeptOut = {
	readonly configuration: unknown;
	/** Failure domains that are in by `configuration` as given but stay out. */
	readonly keptOut: readonly string[];
};

/**
 * Returns `configuration` with those failure domains out that are out in `stored`. A declaration prints its failure
 * domains as in, so applying it while one is out would otherwise send work there. Neither needs to be valid.
 */
export function keepOut(configuration: unknown, stored: unknown): KeptOut {
	const [given, inForce] = [domainsSchema.safeParse(configuration), domainsSchema.safeParse(stored)];
	if (!given.success || !inForce.success) {
		return {configuration, keptOut: []};
	}

	const out = new Set(inForce.data.failureDomains.filter(({state}) => state === 'out').map(({name}) => name));
	const keptOut = given.data.failureDomains.filter(({name, state}) => state === 'in' && out.has(name)).map(({name}) => name);
	const failureDomains = given.data.failureDomains.map(domain => keptOut.includes(domain.name) ? {...domain, state: 'out'} : domain);
	return {configuration: {...given.data, failureDomains}, keptOut};
}
