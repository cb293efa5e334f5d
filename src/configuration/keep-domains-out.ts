/** Preserves the `out` state of failure domains that an operator took out when a whole configuration is applied. */
import {z} from 'zod';

const domainsSchema = z.looseObject({
	failureDomains: z.array(z.looseObject({name: z.string(), state: z.string()})),
});

export type KeptOutResult = {
	readonly configuration: unknown;
	/** Failure domains that are `in` in the given configuration but remain `out`. */
	readonly keptOut: readonly string[];
};

/**
 * Returns `configuration` with every failure domain `out` that is `out` in `stored`. A declaration prints its failure
 * domains as `in`, so applying it while a domain is out would otherwise send work there. Neither argument has to be valid.
 */
export function keepDomainsOut(configuration: unknown, stored: unknown): KeptOutResult {
	const [given, inForce] = [domainsSchema.safeParse(configuration), domainsSchema.safeParse(stored)];
	if (!given.success || !inForce.success) {
		return {configuration, keptOut: []};
	}

	const out = new Set(inForce.data.failureDomains.filter(({state}) => state === 'out').map(({name}) => name));
	const keptOut = given.data.failureDomains.filter(({name, state}) => state === 'in' && out.has(name)).map(({name}) => name);
	const failureDomains = given.data.failureDomains.map(domain => keptOut.includes(domain.name) ? {...domain, state: 'out'} : domain);
	return {configuration: {...given.data, failureDomains}, keptOut};
}
