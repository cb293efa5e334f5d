/** Connection-specific header fields, which are not forwarded (RFC 9110, section 7.6.1). */

const HOP_BY_HOP_FIELDS = [
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade',
];

/**
 * Lower-case names of the header fields to remove: hop-by-hop fields, those listed in the `Connection` field, and
 * `additional`.
 */
export function headersToRemove(connection: string | undefined, additional: readonly string[]): ReadonlySet<string> {
	const listed = (connection ?? '').toLowerCase().split(',').map(name => name.trim());
	return new Set([...HOP_BY_HOP_FIELDS, ...additional, ...listed]);
}
