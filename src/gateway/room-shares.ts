/** Shares the scarce room of engines between workspaces: the requests of this daemon, by the placements of all daemons. */
import {wasServed, type PlacementEntry, type PlacementListener} from '../fleet/placement-table.js';
import {isRoomReserved, type PlacedWork, type WorkspaceShares} from '../scheduling/workspace-shares.js';
import type {Logger} from '../util/logger.js';
import type {RoutedRequest} from './gateway-request.js';
import type {Service} from './serving-configuration.js';

/** Time in ms without a request that left room to others, after which the next one of its workspace is logged. */
const LOG_PAUSE_MS = 10_000;

export type RoomSharesOptions = {
	readonly shares: WorkspaceShares;
	readonly logger: Logger;
	/** Whether requests to the service may wait for room. */
	mayWait(service: Service): boolean;
	/** Service of a server. */
	serviceOf(server: string): string | undefined;
	/** Called for each request that leaves room to others. */
	countYield(service: string): void;
};

export class RoomShares implements PlacementListener {
	static create(options: RoomSharesOptions): RoomShares {
		return new RoomShares(options);
	}

	/** Time of the last request that left room to others, by service and workspace. */
	readonly #yieldedAt = new Map<string, Map<string, number>>();

	private constructor(private readonly options: RoomSharesOptions) {}

	/** Key of the workspace of a request in its placement; undefined where room is not shared between workspaces. */
	keyOf({workspaceKey, service}: RoutedRequest): number | undefined {
		return workspaceKey !== undefined && this.options.mayWait(service) ? workspaceKey : undefined;
	}

	isOverShare(request: RoutedRequest, now: number): boolean {
		const key = this.keyOf(request);
		return key !== undefined && this.options.shares.isOver(request.service.name, key, now);
	}

	/**
	 * Whether a request that has run nowhere leaves the room to other workspaces. One that another host relays does not, as it cannot wait.
	 * `requests`: number of requests on each engine that may take it.
	 */
	isReserved(request: RoutedRequest, requests: () => readonly number[], now: number): boolean {
		const {service: {engine}, isRelayed} = request;
		if (!engine || isRelayed || !this.isOverShare(request, now)) {
			return false;
		}

		return isRoomReserved(requests().map(count => ({slots: engine.slots, requests: count})));
	}

	/** Counts a request that leaves room to others, and logs the first one of its workspace after a while. */
	recordYield({service: {name: service}, workspace, id}: RoutedRequest, now: number): void {
		const {shares, logger, countYield} = this.options;
		countYield(service);
		const yieldedAt = this.#yieldedAt.get(service) ?? new Map<string, number>();
		const name = workspace?.name ?? '';
		if (now - (yieldedAt.get(name) ?? -Infinity) > LOG_PAUSE_MS) {
			const {workspaces, level} = shares.state(service, now);
			logger.info('workspace_over_share', {
				service, workspace: name, request: id, workspaces, share_tokens: Math.round(level),
			});
		}

		this.#yieldedAt.set(service, yieldedAt.set(name, now));
	}

	/** Forgets services that are not in `known`. */
	retain(known: ReadonlySet<string>): void {
		this.options.shares.retain(known);
		for (const service of this.#yieldedAt.keys()) {
			if (!known.has(service)) {
				this.#yieldedAt.delete(service);
			}
		}
	}

	opened(entry: PlacementEntry, now: number): void {
		const work = this.#workOf(entry);
		if (work) {
			this.options.shares.record(work, now);
		}
	}

	started(): void {} // eslint-disable-line @typescript-eslint/no-empty-function

	closed(entry: PlacementEntry, isAnswered: boolean, now: number): void {
		const work = isAnswered || wasServed(entry, now) ? undefined : this.#workOf(entry);
		if (work) {
			this.options.shares.takeBack(work, entry.placedAt);
		}
	}

	#workOf({server, workspace, weight}: PlacementEntry): PlacedWork | undefined {
		const service = workspace === undefined ? undefined : this.options.serviceOf(server);
		return workspace === undefined || service === undefined ? undefined : {service, workspace, tokens: weight};
	}
}
