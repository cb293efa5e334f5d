/** Simulates the platform's load balancer, and records when daemons were killed or frozen. */
import type {Daemon, Deployment} from '../deployment.js';

type Outage = {readonly daemon: string; readonly fromMs: number; readonly toMs: number};

export class SimulatedBalancer {
	static create(deployment: Deployment): SimulatedBalancer {
		return new SimulatedBalancer(deployment);
	}

	readonly #removed = new Set<string>();
	readonly #outages: Outage[] = [];
	#nextIndex = 0;

	private constructor(private readonly deployment: Deployment) {}

	/** Finds a daemon by id; throws an error that lists the known ids. */
	daemonById(id: string): Daemon {
		const found = this.deployment.daemons.find(daemon => daemon.id === id);
		if (!found) {
			throw new Error(`daemon ${id} does not exist; known daemons: ${this.deployment.daemons.map(daemon => daemon.id).join(', ')}`);
		}

		return found;
	}

	/** Selects the next daemon round robin, and another one than `except` if possible. */
	next(except?: string): Daemon {
		const live = this.deployment.daemons.filter(({id, process}) => process.isRunning && !this.#removed.has(id));
		const others = live.filter(({id}) => id !== except);
		const choice = others.length > 0 ? others : live;
		if (choice.length === 0) {
			throw new Error('no running daemon is left in the load balancer');
		}

		return choice[this.#nextIndex++ % choice.length]!;
	}

	/** Stops sending to a daemon. */
	remove(id: string): void {
		this.#removed.add(id);
	}

	/** Resumes sending to a removed daemon. */
	restore(id: string): void {
		this.#removed.delete(id);
	}

	/** Records that a daemon was killed or frozen between two times. */
	recordOutage(daemon: string, fromMs: number, toMs: number): void {
		this.#outages.push({daemon, fromMs, toMs});
	}

	/** Whether a daemon was killed or frozen at any point between two times. */
	hadOutage(daemon: string, fromMs: number, toMs: number): boolean {
		return this.#outages.some(entry => entry.daemon === daemon && entry.fromMs <= toMs && entry.toMs >= fromMs);
	}
}
