/** Which daemons the platform's balancer sends to, and when daemons were killed or frozen. */
import type {Daemon, Deployment} from '../deployment.js';

type Disturbance = {readonly daemon: string; readonly fromMs: number; readonly toMs: number};

export class DaemonRoster {
	static create(deployment: Deployment): DaemonRoster {
		return new DaemonRoster(deployment);
	}

	readonly #away = new Set<string>();
	readonly #disturbances: Disturbance[] = [];
	#turn = 0;

	private constructor(private readonly deployment: Deployment) {}

	/** Finds a daemon by name; throws an Error that lists the names. */
	daemon(id: string): Daemon {
		const found = this.deployment.daemons.find(daemon => daemon.id === id);
		if (!found) {
			throw new Error(`there is no daemon ${id}; there are ${this.deployment.daemons.map(daemon => daemon.id).join(', ')}`);
		}

		return found;
	}

	/** The next daemon in turn that the balancer sends to, another one than `except` where there is one. */
	next(except?: string): Daemon {
		const live = this.deployment.daemons.filter(({id, process}) => process.isRunning && !this.#away.has(id));
		const others = live.filter(({id}) => id !== except);
		const choice = others.length > 0 ? others : live;
		if (choice.length === 0) {
			throw new Error('no daemon is left to send to');
		}

		return choice[this.#turn++ % choice.length]!;
	}

	/** Takes a daemon out of the balancer. */
	remove(id: string): void {
		this.#away.add(id);
	}

	/** Puts a daemon back into the balancer. */
	putBack(id: string): void {
		this.#away.delete(id);
	}

	/** Records that a daemon did not work between two times. */
	disturb(daemon: string, fromMs: number, toMs: number): void {
		this.#disturbances.push({daemon, fromMs, toMs});
	}

	/** Whether a daemon was killed or frozen at any time between two times. */
	isDisturbed(daemon: string, fromMs: number, toMs: number): boolean {
		return this.#disturbances.some(entry => entry.daemon === daemon && entry.fromMs <= toMs && entry.toMs >= fromMs);
	}
}
