/** The daemon: creates its components, serves clients, drains and closes. */
import {randomBytes} from 'node:crypto';
import {ConfigurationIndexes} from '../admission/configuration-index.js';
import {BodyReader} from '../http/body-reader.js';
import {ModelRunner} from '../routing/model-runner.js';
import {Reservations} from '../routing/reservations.js';
import {StreamCleanup} from '../streams/stream-cleanup.js';
import {BackgroundTasks} from '../util/background-tasks.js';
import {monotonicMs} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import {pause} from '../util/pause.js';
import {createCompletionHandler} from './completion-handler.js';
import {chatFormat, textFormat} from './completion-responses.js';
import type {
	CreateComponents, DaemonComponents, Identity, ComponentDependencies,
} from './daemon-components.js';
import {HttpServer, type Route} from './http-server.js';
import {Lifecycle} from './lifecycle.js';
import {createModelsHandler} from './models-handler.js';
import {
	createReadinessHandler, createReportHandler, handleHealth, type DaemonStatus,
} from './operator-handlers.js';
import {createPlainHandler, PLAIN_PREFIX} from './plain-handler.js';
import {createPlainReservations} from './plain-reservations.js';
import type {Settings} from './settings.js';

/** Maximum wait after the last response until memory at the engines has been released. */
const CLEANUP_TIMEOUT_MS = 10_000;
const HAND_OVER_TIMEOUT_MS = 5000;
/** Limit in bytes on all request bodies that are held at the same time: half of the memory of an entry host. */
const MAX_BUFFERED_BODY_BYTES = 256 * 1024 * 1024;

/** Dependencies that the process provides. */
export type DaemonDependencies = Omit<ComponentDependencies, 'settings' | 'identity' | 'clock'> & {readonly createComponents: CreateComponents};

/** A running daemon. */
export class Daemon {
	/** Starts a daemon. Rejects when it cannot listen on one of its addresses. */
	static async create(settings: Settings, {createComponents, logger, metrics}: DaemonDependencies): Promise<Daemon> {
		const identity = {id: settings.id, incarnation: randomBytes(8).toString('hex')};
		const components = await createComponents({
			settings, identity, clock: monotonicMs, logger, metrics,
		});
		try {
			const daemon = new Daemon(settings, identity, components, logger);
			await daemon.#listen();
			return daemon;
		} catch (err) {
			await components.close();
			throw err;
		}
	}

	readonly #lifecycle = Lifecycle.create();
	readonly #tasks: BackgroundTasks;
	readonly #indexes: ConfigurationIndexes;
	#server: HttpServer | undefined;
	#draining: Promise<void> | undefined;

	private constructor(
		private readonly settings: Settings,
		private readonly identity: Identity,
		private readonly components: DaemonComponents,
		private readonly logger: Logger,
	) {
		this.#indexes = ConfigurationIndexes.create(components.configuration);
		this.#tasks = BackgroundTasks.create(err => {
			logger.error('unexpected_error', {message: String(err)});
		});
	}

	/** Address for clients, as IP:PORT. */
	get address(): string {
		return this.#server!.address();
	}

	/** Address for other daemons, as IP:PORT. */
	get peerAddress(): string {
		return this.components.peerAddress;
	}

	status(): DaemonStatus {
		return {
			...this.identity,
			configurationVersion: this.#indexes.current()?.version,
			draining: this.#lifecycle.phase !== 'serving',
			pools: this.components.coordinatedPools(),
			openRequests: this.#server?.openRequests ?? 0,
			controlTraffic: this.components.controlTraffic(),
		};
	}

	/**
	 * Shuts down without interrupting open requests: `/readyz` starts to fail; after the drain lag, in which the load
	 * balancer stops sending requests, new requests are refused; open requests then have until the drain timeout to finish.
	 * The daemon is closed afterwards. Further calls wait for the same drain.
	 */
	async drain(): Promise<void> {
		this.#draining ??= this.#drain();
		return this.#draining;
	}

	/** Closes all connections, which interrupts open requests, and then the components. */
	async close(): Promise<void> {
		this.#lifecycle.advance('refusing');
		this.#server!.close();
		await Promise.race([this.#tasks.waitUntilIdle(), pause(CLEANUP_TIMEOUT_MS)]);
		await this.components.close();
	}

	async #drain(): Promise<void> {
		const server = this.#server!;
		const {drainLagMs, drainTimeoutMs} = this.settings;
		this.#lifecycle.advance('leaving');
		this.logger.info('draining', {open_requests: server.openRequests, lag_ms: drainLagMs});
		await Promise.all([this.components.announceDrain(), pause(drainLagMs)]);
		this.#lifecycle.advance('refusing');
		server.stopListening();
		const handedOver = Promise.race([this.components.handOver(), pause(HAND_OVER_TIMEOUT_MS)]);
		await Promise.all([server.waitUntilIdle(drainTimeoutMs), handedOver]);
		if (server.openRequests > 0) {
			this.logger.warn('drain_timeout', {open_requests: server.openRequests, timeout_ms: drainTimeoutMs});
		}

		await this.close();
		this.logger.info('drained');
	}

	async #listen(): Promise<void> {
		this.#server = await HttpServer.listen(this.settings.listen, {
			routes: this.#createRoutes(), lifecycle: this.#lifecycle, clock: monotonicMs, logger: this.logger,
		});
		try {
			await this.components.start(this.address);
		} catch (err) {
			this.#server.close();
			throw err;
		}

		this.logger.info('listening', {address: this.address, peer_address: this.peerAddress});
	}

	#createRoutes(): readonly Route[] {
		const indexes = this.#indexes;
		const reservations = this.#createReservations();
		const bodies = BodyReader.create({maxBodyBytes: () => this.settings.maxBodyBytes, maxBufferedBytes: MAX_BUFFERED_BODY_BYTES});
		const completionDependencies = {
			indexes, runner: this.#createRunner(reservations), bodies, observer: this.components.observer, clock: monotonicMs,
		};
		const router = this.components.createPlainCalls(createPlainReservations(reservations, indexes));
		return [
			{method: 'POST', path: '/v1/chat/completions', handle: createCompletionHandler(chatFormat, completionDependencies)},
			{method: 'POST', path: '/v1/completions', handle: createCompletionHandler(textFormat, completionDependencies)},
			{method: 'GET', path: '/v1/models', handle: createModelsHandler(indexes)},
			{
				path: PLAIN_PREFIX, handle: createPlainHandler({
					indexes, router, observer: this.components.observer, clock: monotonicMs,
				}),
			},
			{
				method: 'GET', path: '/healthz', handle: handleHealth, isOperational: true,
			},
			{
				method: 'GET', path: '/readyz', handle: createReadinessHandler(indexes, this.#lifecycle), isOperational: true,
			},
			{
				method: 'GET', path: '/status', handle: createReportHandler(() => this.status()), isOperational: true,
			},
			{
				method: 'GET', path: '/levels', handle: createReportHandler(() => this.components.levels()), isOperational: true,
			},
		];
	}

	#createReservations(): Reservations {
		const {pools, directory, configuration} = this.components;
		return Reservations.create({
			client: pools, directory, configuration, clock: monotonicMs,
		});
	}

	#createRunner(reservations: Reservations): ModelRunner {
		const {engine} = this.components;
		const cleanup = StreamCleanup.create(engine, this.#tasks, monotonicMs, (held, outcome) => {
			this.logger.warn('cleanup_failed', {
				held: held.kind, id: held.id, server: held.address, message: outcome.kind === 'cancelled' ? undefined : outcome.message,
			});
		});
		return ModelRunner.create({
			engine, cleanup, reservations, clock: monotonicMs, logger: this.logger,
		});
	}
}
