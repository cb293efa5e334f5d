/** Models that one engine has loaded, according to its last load report. */

/** The part of a load report that lists models. Plain services report none. */
export type ModelReport = {
	readonly boot: string;
	readonly models?: readonly string[];
	/** Version of each model, if the engine reports it. */
	readonly modelVersions?: Readonly<Record<string, string>>;
};

/** Older reports are not used as the current state of the engine. */
const REPORT_MAX_AGE_MS = 5000;

export class ServerModels {
	#report: ModelReport | undefined;
	#reportedAtMs = -Infinity;

	/** Records a report of the state at `takenAtMs`. */
	observe(report: ModelReport, takenAtMs: number): void {
		this.#report = report;
		this.#reportedAtMs = takenAtMs;
	}

	/** Discards the report if it came from another boot of the engine, since a restart unloads all models. */
	noteBoot(boot: string): void {
		if (this.#report?.boot !== boot) {
			this.#report = undefined;
		}
	}

	/** Whether requests for `model` may be sent to the engine. True while nothing is reported; the engine then refuses models that it has not loaded. */
	mayServe(model: string | undefined): boolean {
		return model === undefined || (this.#report?.models?.includes(model) ?? true);
	}

	/** The last report that lists models, unless it is too old. */
	recentReport(now: number): (ModelReport & {readonly models: readonly string[]}) | undefined {
		const models = this.#report?.models;
		return models && now - this.#reportedAtMs <= REPORT_MAX_AGE_MS ? {...this.#report!, models} : undefined;
	}
}
