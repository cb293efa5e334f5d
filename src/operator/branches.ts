/** Declares the workspaces of branches from shared rules and exceptions of individual branches. */
import type {Workspace, WorkspaceLimits} from '../configuration/schema.js';

/** Rules that apply to every branch unless it declares an exception. */
export type SharedRules = Omit<Workspace, 'name' | 'apiKeyDigests'>;

/** A limit of a branch: a number, or a function that computes it from the shared limit. */
export type LimitException = number | ((shared: number) => number);

/** One branch: the digests of its API keys, and the fields that override the shared rules. */
export type Branch = {
	/** SHA-256 digests, see {@link digestApiKey}. */
	readonly apiKeyDigests: readonly string[];
	/** Replaces the shared list. */
	readonly services?: readonly string[];
	/** Replaces the priorities of the length classes that are present. */
	readonly priorities?: Partial<Workspace['priorities']>;
	readonly weight?: LimitException;
	/** Replaces the limits that are present. */
	readonly limits?: Partial<Readonly<Record<keyof WorkspaceLimits, LimitException>>>;
};

/** Builds one workspace per declared branch. Unknown fields are passed through, so that validation reports them. */
export function branches(rules: SharedRules, declared: Readonly<Record<string, Branch>>): readonly Workspace[] {
	return Object.entries(declared).map(([name, branch]) => ({
		name,
		...rules,
		...branch,
		priorities: {...rules.priorities, ...branch.priorities},
		weight: resolveLimit(branch.weight, rules.weight),
		limits: {...rules.limits, ...resolveLimits(branch.limits ?? {}, rules.limits)},
	}));
}

function resolveLimit(exception: LimitException | undefined, shared: number): number {
	if (exception === undefined) {
		return shared;
	}

	return typeof exception === 'function' ? exception(shared) : exception;
}

function resolveLimits(exceptions: NonNullable<Branch['limits']>, shared: WorkspaceLimits): Partial<WorkspaceLimits> {
	const names = Object.keys(exceptions) as ReadonlyArray<keyof WorkspaceLimits>;
	return Object.fromEntries(names.map(name => [name, resolveLimit(exceptions[name], shared[name])]));
}
