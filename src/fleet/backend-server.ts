/** A backend server as it registered itself. */
export type BackendServer = {
	/** Identity of this start of the server inside fireflyport. */
	readonly id: string;
	/** Identity that the server checks; it may be the same after a restart. */
	readonly instanceId: string;
	readonly service: string;
	/** IP:PORT. */
	readonly address: string;
	readonly failureDomain: string;
	readonly slots: number;
	readonly isDraining: boolean;
	/** Time on this daemon's monotonic clock until which it is cold. */
	readonly coldUntil: number;
	/** Unix ms of its start, where it says so. A later start under the same id has forgotten everything. */
	readonly startedAt: number | undefined;
};
