/** Active faults of stand-ins. A stand-in replaces all its faults on each request, so overlapping faults are merged here. */
import type {Deployment} from '../deployment.js';
import type {RunningProcess} from '../processes.js';

type FaultFields = Readonly<Record<string, unknown>>;

export class ActiveFaults {
	static create(deployment: Deployment): ActiveFaults {
		return new ActiveFaults(deployment);
	}

	readonly #active = new Map<RunningProcess, Map<symbol, FaultFields>>();

	private constructor(private readonly deployment: Deployment) {}

	/** Activates a fault; returns a function that ends it. */
	async add(standIn: RunningProcess, fields: FaultFields): Promise<() => Promise<void>> {
		const faults = this.#active.get(standIn) ?? new Map<symbol, FaultFields>();
		this.#active.set(standIn, faults);
		const id = Symbol('fault');
		faults.set(id, fields);
		await this.#send(standIn);
		return async () => {
			faults.delete(id);
			await this.#send(standIn);
		};
	}

	/** Triggers a one-time action of a stand-in, such as a crash, and keeps its active faults. */
	async trigger(standIn: RunningProcess, act: string): Promise<void> {
		await this.#send(standIn, {act});
	}

	async #send(standIn: RunningProcess, extraFields: FaultFields = {}): Promise<void> {
		const activeFields = [...this.#active.get(standIn)?.values() ?? []];
		await this.deployment.setFaults(standIn, Object.assign({}, ...activeFields, extraFields));
	}
}
