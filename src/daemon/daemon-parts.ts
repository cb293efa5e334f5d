/** What a daemon is made of besides its HTTP front, so that tests can substitute it. */
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

/** Identity of one process. */
export type Identity = {
	readonly id: string;
	/** Changes at each start. */
	readonly incarnation: string;
};

/** Sources that parts are built from. */
export type PartSources = {
	readonly settings: Settings;
	readonly identity: Identity;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/** Parts behind the front. */
export type DaemonParts = {
	readonly configuration: ConfigurationSource;
	readonly directory: Directory;
	readonly pools: PoolClient;
	readonly engine: EngineStreams;
	readonly observer: RequestObserver;
	/** Address for other daemons, as IP:PORT. */
	readonly peerAddress: string;
	/** Creates the executor of calls to plain services, which reserves as the front's model requests do. */
	createPlainCalls(reservations: PlainReservations): PlainCalls;
	/** Called when the address for callers is known. */
	start(address: string): Promise<void>;
	/** Pools that this daemon coordinates. */
	coordinated(): readonly string[];
	/** Report for `/levels`. */
	levels(): unknown;
	/** Bytes exchanged with peers, the object API and the host list. */
	controlTraffic(): Traffic;
	/** Announces that this daemon leaves, while it still serves. */
	announceDrain(): Promise<void>;
	/** Hands over what other daemons depend on, such as leases, while requests finish. */
	handOver(): Promise<void>;
	close(): Promise<void>;
};

/** Builds the parts of a daemon. */
export type CreateParts = (sources: PartSources) => Promise<DaemonParts>;
