/** Header fields that concern one connection only and are not passed on (RFC 9110, section 7.6.1). */

const HOP_BY_HOP = [
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade',
];

/** Names in lower case of the fields to leave out: those of a connection, those that its `Connection` field names, and `more`. */
export function fieldsNotPassedOn(connection: string | undefined, more: readonly string[]): ReadonlySet<string> {
	const named = (connection ?? '').toLowerCase().split(',').map(name => name.trim());
	return new Set([...HOP_BY_HOP, ...more, ...named]);
}
