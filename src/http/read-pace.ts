/**
 * Limits how much of what backend servers send a daemon handles before it attends to its other connections. Servers that send without end
 * would otherwise fill each turn of the event loop, and all other requests would wait for them.
 */
import type {Server} from 'node:net';

/** Work after which reading pauses until the next turn of the event loop: some ms. */
const MAX_TURN_WORK = 262_144;
/** Turns in a row that new connections have to themselves: the event loop accepts one a turn, and others may be waiting behind it. */
const MAX_ACCEPTING_TURNS = 64;

export class ReadPace {
	/** `defer` calls back in the next turn of the event loop. */
	static create(defer: (callback: () => void) => void = setImmediate): ReadPace {
		return new ReadPace(defer);
	}

	/** Those that wait for a turn, in order. */
	#waiting: Array<() => void> = [];
	#work = 0;
	#hasAccepted = false;
	#acceptingTurns = 0;

	private constructor(private readonly defer: (callback: () => void) => void) {}

	/** Makes reading wait while `server` accepts connections. */
	watch(server: Server): void {
		server.on('connection', () => {
			this.#hasAccepted = true;
		});
	}

	/** Records work, counted in bytes of a body. */
	record(work: number): void {
		this.#work += work;
	}

	/**
	 * Returns whether this turn has room for more work. If it has none, `resume` is called in a later one; before all others that wait if it
	 * `isUrgent`, for what takes more memory while it is unfinished.
	 */
	mayRead(resume: () => void, isUrgent: boolean): boolean {
		if (!this.#hasAccepted && this.#work < MAX_TURN_WORK) {
			return true;
		}

		if (isUrgent) {
			this.#waiting.unshift(resume);
		} else {
			this.#waiting.push(resume);
		}

		if (this.#waiting.length === 1) {
			this.#deferTurn();
		}

		return false;
	}

	#deferTurn(): void {
		this.defer(() => {
			this.#startTurn();
		});
	}

	/** Resumes those that wait until their work fills this turn, too. */
	#startTurn(): void {
		const isAccepting = this.#hasAccepted && this.#acceptingTurns < MAX_ACCEPTING_TURNS;
		this.#hasAccepted = false;
		this.#acceptingTurns = isAccepting ? this.#acceptingTurns + 1 : 0;
		if (isAccepting) {
			this.#deferTurn();
			return;
		}

		this.#work = 0;
		const waiting = this.#waiting;
		this.#waiting = [];
		let resumed = 0;
		while (resumed < waiting.length && this.#work < MAX_TURN_WORK) {
			waiting[resumed]!();
			resumed++;
		}

		const isDeferred = this.#waiting.length > 0;
		this.#waiting = [...waiting.slice(resumed), ...this.#waiting];
		if (this.#waiting.length > 0 && !isDeferred) {
			this.#deferTurn();
		}
	}
}
