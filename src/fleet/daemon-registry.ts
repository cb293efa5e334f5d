/** Registers this daemon in the store, again after the store has come back from an older copy, and discovers the other daemons there. */
import {z} from 'zod';
import type {KindObject, KindStore} from '../store/kind-store.js';
import {ChangeFilter} from '../util/change-filter.js';
import type {Clock} from '../util/clock.js';
import {stackOf} from '../util/stack-of.js';
import {isHostAddress} from '../util/host-address.js';
import type {Logger} from '../util/logger.js';
import {pause} from '../util/pause.js';
import type {Member} from './fleet-topology.js';

const CALL_TIMEOUT_MS = 1000;
/** First pause in ms between reads of the list. Daemons start together, and the first lists may predate some of them. */
const FIRST_REFRESH_MS = 700;
/** Longest pause in ms. Daemons also discover each other by messages, so later reads only serve those that were cut off. */
const MAX_REFRESH_MS = 10_000;

/** Pause in ms between attempts to read the list of a restored store. */
const RECHECK_RETRY_MS = 300;

/** Longest name of a failure domain. It is part of each message between daemons. */
const MAX_DOMAIN_LENGTH = 253;
/** The member with most cores relays to the others, so an entry with a number too large must not become one. */
const MAX_CORES = 10_000;

const memberSchema = z.object({
	address: z.string().refine(address => isHostAddress(address), 'expected the IPv4 address of one host'),
	failureDomain: z.string().min(1).max(MAX_DOMAIN_LENGTH),
	cores: z.number().positive().max(MAX_CORES),
}).readonly();

export type DaemonRegistryOptions = {
	readonly kind: string;
	readonly store: KindStore;
	readonly self: Member;
	readonly clock: Clock;
	readonly logger: Logger;
	onMembers(members: readonly Member[], now: number): void;
	/** Reads an object of the same kind that does not describe a daemon. Returns whether it could be read. */
	readOther(object: KindObject, now: number): boolean;
	/** Called with the names of all objects of the kind after the store has come back from an older copy, which may lack some. */
	onRestored(names: ReadonlySet<string>): void;
};

export class DaemonRegistry {
	static start(options: DaemonRegistryOptions): DaemonRegistry {
		const registry = new DaemonRegistry(options);
		void registry.#run();
		return registry;
	}

	/** Resolves when the list of daemons has been read or could not be read for the first time. */
	readonly firstRead: Promise<void>;
	readonly #controller = new AbortController();
	readonly #unreadable = ChangeFilter.create();
	#isRegistered = false;
	/** Aborted to end a call or a pause early, by `recheck` and `close`. */
	#interruption = new AbortController();
	/** Era in which the registration was found, or is being looked for. */
	#era: number | undefined;
	/** The next list has to be of the restored store. */
	#isRecheckDue = false;
	#finishFirstRead!: () => void;

	private constructor(private readonly options: DaemonRegistryOptions) {
		this.firstRead = new Promise(resolve => {
			this.#finishFirstRead = resolve;
		});
	}

	close(): void {
		this.#controller.abort();
		this.#interruption.abort();
	}

	/** Reads the list of a store that has come back from an older copy in `era`, and registers again if this daemon is not in it. */
	recheck(era: number): void {
		if (this.#era === era) {
			return;
		}

		this.#era = era;
		this.#isRegistered = false;
		this.#isRecheckDue = true;
		const interrupted = this.#interruption;
		this.#interruption = new AbortController();
		interrupted.abort();
	}

	async #run(): Promise<void> {
		const {signal} = this.#controller;
		let refreshMs = FIRST_REFRESH_MS;
		while (!signal.aborted) {
			const isListed = await this.#readAndRegister();
			await pause(this.#isRecheckDue ? RECHECK_RETRY_MS : refreshMs, this.#interruption.signal);
			refreshMs = this.#isRegistered && isListed ? Math.min(MAX_REFRESH_MS, 2 * refreshMs) : FIRST_REFRESH_MS;
		}
	}

	/** Returns whether other daemons are listed. After an exception the next round tries again. */
	async #readAndRegister(): Promise<boolean> {
		try {
			const isListed = await this.#refresh();
			// A restarted daemon is listed already; reading costs operators less than writing.
			if (this.#isRegistered) {
				return isListed;
			}

			this.#finishFirstRead();
			this.#isRegistered = await this.#register();
			return await this.#refresh();
		} catch (err) {
			this.options.logger.error('registry_failed', {message: stackOf(err)});
			return false;
		} finally {
			this.#finishFirstRead();
		}
	}

	async #register(): Promise<boolean> {
		const {
			store, kind, self, logger,
		} = this.options;
		const outcome = await store.create(kind, self.address, self, {timeoutMs: CALL_TIMEOUT_MS, signal: this.#interruption.signal});
		if (outcome.kind === 'unavailable') {
			logger.warn('register_failed', {message: outcome.message});
			return false;
		}

		logger.info('registered', {outcome: outcome.kind});
		return true;
	}

	async #refresh(): Promise<boolean> {
		const {
			store, kind, clock, logger,
		} = this.options;
		const {signal} = this.#interruption;
		const isRecheck = this.#isRecheckDue;
		const listed = await store.list(kind, {timeoutMs: CALL_TIMEOUT_MS, signal, isStaleAllowed: !isRecheck});
		if (signal.aborted) {
			return false;
		}

		if (listed.kind === 'unavailable') {
			logger.warn('peers_unknown', {message: listed.message});
			return false;
		}

		if (this.#era !== undefined && listed.era !== this.#era) {
			this.recheck(listed.era);
			return false;
		}

		this.#era = listed.era;
		const members = listed.objects.map(object => this.#decode(object, clock())).filter(member => member !== undefined);
		this.#isRegistered ||= members.some(member => isSame(member, this.options.self));
		this.options.onMembers(members, clock());
		if (isRecheck) {
			this.#isRecheckDue = false;
			logger.info('registration_checked', {era: this.#era, is_registered: this.#isRegistered});
			this.options.onRestored(new Set(listed.objects.map(({name}) => name)));
		}

		// A stale list may predate the daemons that started together with this one.
		return members.length > 1;
	}

	#decode(object: KindObject, now: number): Member | undefined {
		const parsed = memberSchema.safeParse(object.value);
		if (!parsed.success) {
			this.#handleOther(object, z.prettifyError(parsed.error), now);
		}

		return parsed.data;
	}

	#handleOther(object: KindObject, memberProblem: string, now: number): void {
		let problem = memberProblem;
		try {
			if (this.options.readOther(object, now)) {
				return;
			}
		} catch (err) {
			problem = String(err);
		}

		if (this.#unreadable.isChanged(object.name, problem)) {
			this.options.logger.warn('peer_unreadable', {peer: object.name, message: problem});
		}
	}
}

const isSame = (a: Member, b: Member): boolean => a.address === b.address && a.failureDomain === b.failureDomain && a.cores === b.cores;
