/** `adaptive`: the requests to a server that has started or returned are limited by how it answers. */
export const serverPaceModes = ['off', 'adaptive'] as const;
export type ServerPaceMode = typeof serverPaceModes[number];

/** Whether room that is scarce is shared between workspaces. */
export const workspaceShareModes = ['off', 'fair'] as const;
export type WorkspaceShareMode = typeof workspaceShareModes[number];

/** Settings of a gateway daemon, under fireflyport's own names. */
export type GatewaySettings = {
	readonly daemon: string;
	readonly ip: string;
	readonly failureDomain: string;
	/** Region of each failure domain. */
	readonly regions: Readonly<Record<string, string>>;
	/** IP:PORT for clients and for the readiness checks of the balancer. */
	readonly listen: string;
	readonly readyListen: string;
	/** Processor cores that the daemon may use. */
	readonly cores: number;
	/** Memory in bytes at which the host kills the daemon. */
	readonly memoryBytes: number;
	/** Descriptors that the daemon may open; undefined if the host does not tell. */
	readonly maxDescriptors?: number | undefined;
	/** UDP port of the load exchange and TCP port for followers; the same on all daemons. */
	readonly peerPort: number;
	/** TCP port of the metrics. */
	readonly metricsPort: number;
	/** Time in ms after a fault within which a changed store has to be in force again. */
	readonly stableWindowMs: number;
	/** Shortest time in ms within which a change of the store has to be in force. */
	readonly changeBoundMs: number;
	/** Time in ms between SIGTERM and SIGKILL. */
	readonly stopGraceMs: number;
	/** Interval in ms at which backend servers renew their registrations. */
	readonly serverHeartbeatMs: number;
	/** Limits on retries at backend servers: a share of the requests, and a number that all daemons share. */
	readonly retryShare: number;
	readonly retrySlack: number;
	readonly serverPace: ServerPaceMode;
	readonly workspaceShares: WorkspaceShareMode;
};
