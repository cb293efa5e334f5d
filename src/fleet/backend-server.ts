/** A backend server, as described by its registration. */
export type BackendServer = {
	/** Identifies one start of the server within fireflyport. */
	readonly id: string;
	/** Id that the server checks in requests; it may stay the same after a restart. */
	readonly instanceId: string;
	readonly service: string;
	/** IP:PORT. */
	readonly address: string;
	readonly failureDomain: string;
	readonly slots: number;
	readonly isDraining: boolean;
	/** Time on this daemon's monotonic clock until which the server is cold. */
	readonly coldUntil: number;
	/** Unix time of its start in ms, if the server reports it. A later start under the same id means that its state is lost. */
	readonly startedAt: number | undefined;
};
