/** Compares what engines report with what the configuration wants and decides which orders are due. */
import type {EngineOrder} from '../backend/engine-protocol.js';
import type {ModelService} from '../configuration/schema.js';

/** What an engine reports to hold. */
export type ReportedModels = {
	readonly boot: string;
	readonly models: readonly string[];
	/** Version by model; an engine that does not report versions is taken to hold the right ones. */
	readonly modelVersions?: Readonly<Record<string, string>>;
};

/** An engine with its last load report. */
export type ReportedEngine = {
	readonly id: string;
	readonly address: string;
	readonly load: ReportedModels | undefined;
};

/** An order that is due, without its fencing token. */
export type DueOrder = {
	readonly engine: ReportedEngine;
	readonly model: string;
	readonly version: string;
	readonly kind: 'load-model' | 'unload-model';
};

/** Time after which an order that has not shown in the reports is repeated. Covers loading and the lag of reports. */
export const ORDER_REPEAT_MS = 60_000;

/** Identity of an order, for the repeat interval. A new boot of the engine has lost what was loaded before. */
export const orderKey = ({engine, kind, model, version}: DueOrder): string => `${engine.id} ${engine.load?.boot} ${kind} ${model} ${version}`;

/** Adds the fencing token. */
export function toEngineOrder(order: DueOrder, fencing: number): EngineOrder {
	switch (order.kind) {
		case 'load-model': {
			return {
				kind: 'load-model', model: order.model, version: order.version, fencing,
			};
		}

		case 'unload-model': {
			return {kind: 'unload-model', model: order.model, fencing};
		}
	}
}

function ordersFor(engine: ReportedEngine, service: ModelService): readonly DueOrder[] {
	const {load} = engine;
	if (!load) {
		return [];
	}

	const wanted = new Set(service.models.map(model => model.name));
	const isHeld = ({name, version}: ModelService['models'][number]): boolean =>
		load.models.includes(name) && (load.modelVersions?.[name] ?? version) === version;
	const missing = service.models.filter(model => !isHeld(model));
	const surplus = load.models.filter(model => !wanted.has(model));
	return [
		...missing.map(({name, version}) => ({
			engine, kind: 'load-model', model: name, version,
		}) as const),
		...surplus.map(model => ({
			engine, kind: 'unload-model', model, version: '',
		}) as const),
	];
}

/**
 * Returns the orders that are due at `now`, engines with the fewest models first.
 * `sentAt` holds the time at which each order was last sent, by {@link orderKey}.
 */
export function planOrders(
	service: ModelService,
	engines: readonly ReportedEngine[],
	sentAt: ReadonlyMap<string, number>,
	now: number,
): readonly DueOrder[] {
	const loaded = (engine: ReportedEngine) => engine.load?.models.length ?? 0;
	return [...engines]
		.sort((a, b) => loaded(a) - loaded(b))
		.flatMap(engine => ordersFor(engine, service))
		.filter(order => now - (sentAt.get(orderKey(order)) ?? Number.NEGATIVE_INFINITY) >= ORDER_REPEAT_MS);
}
