/** Interface to the components of a daemon other than its HTTP server, so that tests can substitute them. */
import type {ConfigurationSource} from '../configuration/configuration-source.js';
import type {Directory} from '../membership/directory.js';
import type {PlainReservations} from '../operations/plain-call.js';
import type {PoolClient} from '../routing/reservation.js';
import type {EngineStreams} from '../streams/engine-streams.js';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';
import type {Metrics} from '../util/metrics.js';
import type {Traffic} from '../util/traffic-meter.js';
import type {PlainCalls} from './plain-handler.js';
import type {RequestObserver} from './request-observer.js';
import type {Settings} from './settings.js';

/** Identity of one daemon process. */
export type Identity = {
	readonly id: string;
	/** Random value that is different after each start. */
	readonly incarnation: string;
};

/** Dependencies from which the components are created. */
export type ComponentDependencies = {
	readonly settings: Settings;
	readonly identity: Identity;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/** Components that the HTTP server uses. */
export type DaemonComponents = {
	readonly configuration: ConfigurationSource;
	readonly directory: Directory;
	readonly pools: PoolClient;
	readonly engine: EngineStreams;
	readonly observer: RequestObserver;
	/** Address for other daemons, as IP:PORT. */
	readonly peerAddress: string;
	/** Creates the executor of calls to plain services. It uses the same reservations as model requests. */
	createPlainCalls(reservations: PlainReservations): PlainCalls;
	/** Starts the components, once the address for clients is known. */
	start(address: string): Promise<void>;
	/** Returns the pools that this daemon coordinates. */
	coordinatedPools(): readonly string[];
	/** Returns the report for `/levels`. */
	levels(): unknown;
	/** Returns the number of bytes exchanged with peers, the object API and the host list. */
	controlTraffic(): Traffic;
	/** Announces to other daemons that this one is shutting down, while it still serves requests. */
	announceDrain(): Promise<void>;
	/** Hands resources that other daemons need, such as leases, over to them while open requests finish. */
	handOver(): Promise<void>;
	close(): Promise<void>;
};

/** Creates the components of a daemon. */
export type CreateComponents = (dependencies: ComponentDependencies) => Promise<DaemonComponents>;
