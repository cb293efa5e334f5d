/** Compares the models that engines report with the configured ones and determines which orders are due. */
import type {EngineOrder} from '../backend/engine-protocol.js';
import type {ModelService} from '../configuration/schema.js';

/** Models that an engine reports as loaded. */
export type ReportedModels = {
	readonly boot: string;
	readonly models: readonly string[];
	/** Version by model. An engine that does not report versions is assumed to hold the configured ones. */
	readonly modelVersions?: Readonly<Record<string, string>>;
};

/** An engine with its latest load report. */
export type ReportedEngine = {
	readonly id: string;
	readonly address: string;
	readonly load: ReportedModels | undefined;
};

/** An order that is due, without the fencing token. */
export type DueOrder = {
	readonly engine: ReportedEngine;
	readonly model: string;
	readonly version: string;
	readonly kind: 'load-model' | 'unload-model';
};

/** Time after which an order is repeated if its effect does not appear in the reports. Covers the loading time and the delay of reports. */
export const ORDER_REPEAT_MS = 60_000;

/** Identity of an order, for the repeat interval. It includes the boot id, since a restarted engine has lost its loaded models. */
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

	const configured = new Set(service.models.map(model => model.name));
	const isLoaded = ({name, version}: ModelService['models'][number]): boolean =>
		load.models.includes(name) && (load.modelVersions?.[name] ?? version) === version;
	const missing = service.models.filter(model => !isLoaded(model));
	const surplus = load.models.filter(model => !configured.has(model));
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
 * Returns the orders that are due at `now`. Engines with the fewest loaded models come first.
 * `sentAt` maps {@link orderKey} to the time at which the order was last sent.
 */
export function planOrders(
	service: ModelService,
	engines: readonly ReportedEngine[],
	sentAt: ReadonlyMap<string, number>,
	now: number,
): readonly DueOrder[] {
	const loadedModelCount = (engine: ReportedEngine) => engine.load?.models.length ?? 0;
	return [...engines]
		.sort((a, b) => loadedModelCount(a) - loadedModelCount(b))
		.flatMap(engine => ordersFor(engine, service))
		.filter(order => now - (sentAt.get(orderKey(order)) ?? Number.NEGATIVE_INFINITY) >= ORDER_REPEAT_MS);
}
