/** Models that one engine holds, by its last load report. */

/** The part of a load report that names models. Plain services report none. */
export type ModelReport = {
	readonly boot: string;
	readonly models?: readonly string[];
	/** Version by model, where the engine reports it. */
	readonly modelVersions?: Readonly<Record<string, string>>;
};

/** Reports older than this say nothing about what the engine holds now. */
const REPORT_MAX_AGE_MS = 5000;

export class ServerModels {
	#report: ModelReport | undefined;
	#reportedAtMs = -Infinity;

	/** Takes over a report that describes the state at `takenAtMs`. */
	observe(report: ModelReport, takenAtMs: number): void {
		this.#report = report;
		this.#reportedAtMs = takenAtMs;
	}

	/** The engine has a new boot id: what the boot before it held is gone. */
	noteBoot(boot: string): void {
		if (this.#report?.boot !== boot) {
			this.#report = undefined;
		}
	}

	/** Whether requests for `model` may go there. True as long as nothing is reported: the engine then refuses what it does not hold. */
	mayServe(model: string | undefined): boolean {
		return model === undefined || (this.#report?.models?.includes(model) ?? true);
	}

	/** The last report that names models, unless it is too old. */
	recentReport(now: number): (ModelReport & {readonly models: readonly string[]}) | undefined {
		const models = this.#report?.models;
		return models && now - this.#reportedAtMs <= REPORT_MAX_AGE_MS ? {...this.#report!, models} : undefined;
	}
}
