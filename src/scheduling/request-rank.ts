/**
 * Ranks requests by the priorities of the configuration, and maps the ranks of one service to the urgency that its engines read.
 *
 * An engine admits more urgent requests first, and treats a request without an urgency as one of 5. The ranks of a service are spread over
 * the whole scale, so that any number of priorities keeps its order; above ten, neighbours share an urgency.
 */

/** Largest urgency value of the engines' protocol; 0 is the most urgent. */
const LAST_URGENCY = 9;

export type RankedRoute = {
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly services: ReadonlyArray<{readonly service: string}>;
	readonly isAnonymous: boolean;
};

export type RankedWorkspace = {
	/** Overrides the priority of a route. */
	readonly priority: number | undefined;
};

export type RankedConfiguration = {
	readonly routes: readonly RankedRoute[];
	/** Undefined if no request requires a key. */
	readonly workspaces: readonly RankedWorkspace[] | undefined;
};

/** Rank of a request; 0 is the most urgent. */
export const requestRank = (route: Pick<RankedRoute, 'priority'>, workspace: RankedWorkspace | undefined): number => workspace?.priority ?? route.priority;

/** The ranks that requests to each service can have in one configuration. */
export class UrgencyScale {
	static create(configuration: RankedConfiguration): UrgencyScale {
		return new UrgencyScale(configuration);
	}

	/** Ranks by service, the most urgent first. */
	readonly #ranks = new Map<string, readonly number[]>();

	private constructor({routes, workspaces = []}: RankedConfiguration) {
		const ownRanks = workspaces.map(({priority}) => priority).filter(priority => priority !== undefined);
		// Requests without a key, or of a workspace without a priority, have the rank of their route.
		const hasUnrankedWorkspace = workspaces.length === 0 || ownRanks.length < workspaces.length;
		const ranks = new Map<string, Set<number>>();
		for (const {services, priority, isAnonymous} of routes) {
			for (const {service} of services) {
				const known = ranks.get(service) ?? new Set(ownRanks);
				ranks.set(service, isAnonymous || hasUnrankedWorkspace ? known.add(priority) : known);
			}
		}

		for (const [service, known] of ranks) {
			this.#ranks.set(service, [...known].sort((a, b) => a - b));
		}
	}

	/** Urgency of a request of `rank` to `service`; undefined where all requests to it have the same rank. */
	urgency(service: string, rank: number): number | undefined {
		const ranks = this.#ranks.get(service);
		const index = ranks?.indexOf(rank) ?? -1;
		return ranks === undefined || ranks.length < 2 || index === -1 ? undefined : Math.round(index * LAST_URGENCY / (ranks.length - 1));
	}
}
