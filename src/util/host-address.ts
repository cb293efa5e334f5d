/** Distinguishes IPv4 addresses to which a connection can be opened from others. */
import {isIPv4} from 'node:net';

/** First octets from which on addresses are multicast, reserved or broadcast (RFC 1112, section 4). */
const FIRST_MULTICAST_OCTET = 224;

/** Whether `ip` is the IPv4 address of one host, in dotted decimal notation. */
export function isHostAddress(ip: string): boolean {
	const firstOctet = Number(ip.split('.', 1)[0]);
	return isIPv4(ip) && firstOctet > 0 && firstOctet < FIRST_MULTICAST_OCTET;
}
