/** Ids of reservations. They also identify the streams and segments at the engines. */

/** Owner and base id of a reservation, as parsed from an id. */
export type ReservationOwner = {
	/** Id of the daemon that received the request. */
	readonly daemon: string;
	readonly incarnation: string;
	/** The reservation's id without the suffix of a segment or of a repeated attempt. */
	readonly reservation: string;
};

const pattern = /^(?<reservation>(?<daemon>.+)\.(?<incarnation>[^.]+)\.\d+)(?:\D.*)?$/v;

/** Formats `<daemon id>.<incarnation>.<sequence>`. */
export const formatReservationId = (daemon: string, incarnation: string, sequence: number): string => `${daemon}.${incarnation}.${sequence}`;

/** Parses an id, with or without a suffix that starts with a character other than a digit. Undefined for ids of another form. */
export function parseReservationId(id: string): ReservationOwner | undefined {
	const groups = pattern.exec(id)?.groups;
	return groups && {daemon: groups.daemon!, incarnation: groups.incarnation!, reservation: groups.reservation!};
}
