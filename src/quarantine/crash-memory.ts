/** The crashes, written answers and begun answers that the evidence is drawn from, bounded in time and number. */
import {isRequest} from './crash-subject.js';
import {setNewest} from './subject-times.js';

/** Time in ms for which crashes and written answers are remembered; the crashes of one subject may come minutes apart. */
const MEMORY_MS = 600_000;
/** Time in ms before the first crash of a request for which begun answers show how seldom crashes are. */
export const CALM_MS = 5000;
/** Length of the periods in ms over which begun answers are counted. */
const START_PERIOD_MS = 250;
/** Time in ms by which other daemons may learn late that a request was placed. */
const MAX_NOTICE_DELAY_MS = 100;
/** A server that has crashed does not start again within this time in ms; later answers may be those of its next start. */
const MIN_RESTART_MS = 1000;
const MAX_CRASHES = 200;
const MAX_RUNS_PER_CRASH = 64;
/** Bound on the subjects of all remembered runs: 100 runs with 60 each. It bounds the time of an analysis. */
const MAX_ENTRIES = 6000;

/** A request whose server closed the connection before the answer was sound. */
export type CrashReport = {
	/** Id of one start of the server. */
	readonly server: string;
	/** Id of the client's attempt. */
	readonly request: string;
	/** Parts that the prompt may share with others, in order, and the request itself; daemons of earlier versions report only parts. */
	readonly subjects: readonly string[];
};

export type Run = {
	readonly request: string;
	readonly subjects: readonly string[];
	/** The request as a subject, the same for all its repeats; undefined in reports of daemons of earlier versions. */
	readonly whole: string | undefined;
	readonly at: number;
};

export type Crash = {readonly server: string; readonly at: number; readonly runs: ReadonlyMap<string, Run>};

type StoredCrash = Crash & {readonly runs: Map<string, Run>};

export class CrashMemory {
	static create(): CrashMemory {
		return new CrashMemory();
	}

	/** Crashes by server, oldest first. */
	readonly #crashes = new Map<string, StoredCrash>();
	/** Latest time at which a subject was written, oldest first. */
	readonly #soundTimes = new Map<string, number>();
	/** Latest crash of each subject that is remembered, oldest first. */
	readonly #crashTimes = new Map<string, number>();
	/** Number of remembered runs of each request. */
	readonly #runCounts = new Map<string, number>();
	/** Number of begun answers by period, oldest first. */
	readonly #starts = new Map<number, number>();
	#entries = 0;
	#version = 0;

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Changes with all that an analysis depends on, besides the time. */
	get version(): number {
		return this.#version;
	}

	/** Number of subjects of all runs. */
	get entries(): number {
		return this.#entries;
	}

	get crashes(): readonly Crash[] {
		return [...this.#crashes.values()];
	}

	get crashTimes(): ReadonlyMap<string, number> {
		return this.#crashTimes;
	}

	recordCrash({server, request, subjects}: CrashReport, now: number): void {
		this.dropOld(now);
		let crash = this.#crashes.get(server);
		if (!crash) {
			crash = {server, at: now, runs: new Map()};
			this.#crashes.set(server, crash);
		}

		if (crash.runs.size >= MAX_RUNS_PER_CRASH || crash.runs.has(request)) {
			return;
		}

		const whole = subjects.find(subject => isRequest(subject));
		crash.runs.set(request, {
			request, subjects, whole, at: now,
		});
		if (whole !== undefined) {
			this.#runCounts.set(whole, (this.#runCounts.get(whole) ?? 0) + 1);
		}

		for (const subject of subjects) {
			setNewest(this.#crashTimes, subject, now);
		}

		this.#entries += subjects.length;
		this.#version++;
		this.#dropBeyondBounds();
	}

	/** Records that an answer to a request with `subject` was written at `at`. */
	recordSound(subject: string, at: number): void {
		setNewest(this.#soundTimes, subject, at);
		if (this.#crashTimes.has(subject)) {
			this.#version++;
		}
	}

	/** Records that any server has begun an answer. */
	recordStart(now: number): void {
		const period = Math.floor(now / START_PERIOD_MS);
		this.#starts.set(period, (this.#starts.get(period) ?? 0) + 1);
		if (this.#crashes.size === 0 && this.#starts.size > CALM_MS / START_PERIOD_MS) {
			this.#starts.delete(this.#starts.keys().next().value!);
		}
	}

	/** Records that a server has answered a request that was placed at `placedAt`: it had not crashed shortly before, but only closed connections. */
	recordAnswer(server: string, placedAt: number): void {
		const crash = this.#crashes.get(server);
		if (!crash) {
			return;
		}

		const closed = [...crash.runs.values()].filter(({at}) => placedAt - at >= MAX_NOTICE_DELAY_MS && placedAt - at <= MIN_RESTART_MS);
		if (closed.length === 0) {
			return;
		}

		for (const run of closed) {
			crash.runs.delete(run.request);
			this.#forgetRun(run);
		}

		const [first] = crash.runs.values();
		const rest = [...this.#crashes.values()].filter(other => other !== crash);
		this.#crashes.clear();
		for (const each of [...rest, ...(first ? [{...crash, at: first.at}] : [])].sort((a, b) => a.at - b.at)) {
			this.#crashes.set(each.server, each);
		}

		this.#version++;
	}

	/** Removes the runs for which `isRemoved` returns true, and crashes without other runs. */
	removeRuns(isRemoved: (run: Run, crash: Crash) => boolean): void {
		for (const crash of this.#crashes.values()) {
			for (const run of [...crash.runs.values()].filter(each => isRemoved(each, crash))) {
				crash.runs.delete(run.request);
				this.#forgetRun(run);
			}

			if (crash.runs.size === 0) {
				this.#crashes.delete(crash.server);
			}
		}

		this.#version++;
	}

	/** Latest time at which the subject was written; -Infinity if that is not remembered. */
	soundAt(subject: string): number {
		return this.#soundTimes.get(subject) ?? -Infinity;
	}

	isKnown(subject: string, now: number): boolean {
		return now - this.soundAt(subject) <= MEMORY_MS;
	}

	/** Whether a request crashed more than once. Most did not, and nothing follows from a single crash. */
	isRepeated(request: string): boolean {
		return (this.#runCounts.get(request) ?? 0) > 1;
	}

	/** Returns a function that counts the answers begun since a time, in periods. */
	startCounter(): (since: number) => number {
		const ends: number[] = [];
		/** Number of answers in the periods before each one. */
		const before = [0];
		for (const [period, count] of this.#starts) {
			ends.push((period + 1) * START_PERIOD_MS);
			before.push(before.at(-1)! + count);
		}

		return since => {
			const first = ends.findIndex(end => end > since);
			return first === -1 ? 0 : before.at(-1)! - before[first]!;
		};
	}

	/** Drops what is too old. */
	dropOld(now: number): void {
		for (const crash of this.#crashes.values()) {
			if (now - crash.at <= MEMORY_MS) {
				break;
			}

			this.#dropCrash(crash);
		}

		for (const [subject, at] of this.#crashTimes) {
			if (now - at <= MEMORY_MS) {
				break;
			}

			this.#crashTimes.delete(subject);
		}

		const startsMs = this.#crashes.size === 0 ? CALM_MS : MEMORY_MS;
		for (const period of this.#starts.keys()) {
			if (now - (period * START_PERIOD_MS) <= startsMs) {
				break;
			}

			this.#starts.delete(period);
		}
	}

	/** Drops the oldest crashes. One crash alone is within the bound. */
	#dropBeyondBounds(): void {
		while (this.#crashes.size > MAX_CRASHES || this.#entries > MAX_ENTRIES) {
			this.#dropCrash(this.#crashes.values().next().value!);
		}
	}

	#dropCrash(crash: Crash): void {
		this.#crashes.delete(crash.server);
		for (const run of crash.runs.values()) {
			this.#forgetRun(run);
		}

		this.#version++;
	}

	#forgetRun({subjects, whole}: Run): void {
		this.#entries -= subjects.length;
		if (whole !== undefined) {
			const count = (this.#runCounts.get(whole) ?? 0) - 1;
			if (count > 0) {
				this.#runCounts.set(whole, count);
			} else {
				this.#runCounts.delete(whole);
			}
		}
	}
}
