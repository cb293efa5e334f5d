/** Connection-specific header fields, which are not forwarded (RFC 9110, section 7.6.1). */

/** Largest request head in bytes. Exceeds the limits of configurations, which are unknown when a server is created. */
export const MAX_HEADER_BYTES = 65_536;

/** Marks a request that a host without a path to the backend servers sends through another one. Only read on the port for daemons. */
export const RELAYED_FIELD = 'fireflyport-relayed';

/** Names the start of the server that wrote the response to such a request. */
export const RELAYED_SERVER_FIELD = 'fireflyport-relayed-server';

/** In such a request, the version of the configuration below which it must not be handled; in its response, the version by which it was. */
export const RELAYED_CONFIGURATION_FIELD = 'fireflyport-relayed-config';

const HOP_BY_HOP_FIELDS = [
	RELAYED_FIELD,
	RELAYED_SERVER_FIELD,
	RELAYED_CONFIGURATION_FIELD,
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
];

/**
 * Lower-case names of the header fields to remove: hop-by-hop fields, those listed in the `Connection` field, and
 * `additional`.
 */
export function headersToRemove(connection: string | undefined, additional: readonly string[]): ReadonlySet<string> {
	const listed = (connection ?? '').toLowerCase().split(',').map(name => name.trim());
	return new Set([...HOP_BY_HOP_FIELDS, ...additional, ...listed]);
}
