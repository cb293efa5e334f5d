/** Registers this daemon in the store and finds the others there. */
import type {KindStore} from '../store/kind-store.js';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import {pause} from '../util/pause.js';

const CALL_TIMEOUT_MS = 1000;
/** Daemons tell each other of themselves, so the list is only read again for those that were cut off. */
const REFRESH_MS = 10_000;
/** Until the first success the store is asked this often. */
const FIRST_REFRESH_MS = 700;

export type RegistryOptions = {
	readonly kind: string;
	readonly store: KindStore;
	readonly ip: string;
	readonly clock: Clock;
	readonly logger: Logger;
	onPeers(addresses: readonly string[], now: number): void;
};

export class DaemonRegistry {
	static start(options: RegistryOptions): DaemonRegistry {
		const registry = new DaemonRegistry(options);
		void registry.#run();
		return registry;
	}

	readonly #controller = new AbortController();
	#isRegistered = false;

	private constructor(private readonly options: RegistryOptions) {}

	close(): void {
		this.#controller.abort();
	}

	async #run(): Promise<void> {
		const {signal} = this.#controller;
		while (!signal.aborted) {
			this.#isRegistered ||= await this.#register();
			const isListed = await this.#refresh();
			await pause(this.#isRegistered && isListed ? REFRESH_MS : FIRST_REFRESH_MS, signal);
		}
	}

	async #register(): Promise<boolean> {
		const {
			store, kind, ip, logger,
		} = this.options;
		const outcome = await store.create(kind, ip, {address: ip}, {timeoutMs: CALL_TIMEOUT_MS, signal: this.#controller.signal});
		if (outcome.kind === 'unavailable') {
			logger.warn('register_failed', {message: outcome.message});
			return false;
		}

		logger.info('registered', {outcome: outcome.kind});
		return true;
	}

	async #refresh(): Promise<boolean> {
		const {
			store, kind, clock, logger, onPeers,
		} = this.options;
		const listed = await store.list(kind, {timeoutMs: CALL_TIMEOUT_MS, signal: this.#controller.signal, isStaleAllowed: true});
		if (listed.kind === 'unavailable') {
			logger.warn('peers_unknown', {message: listed.message});
			return false;
		}

		onPeers(listed.objects.map(({name}) => name), clock());
		// A stale list may be older than the daemons that started together with this one.
		return listed.objects.length > 1;
	}
}
