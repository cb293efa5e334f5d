/** UUIDs of version 7 (RFC 9562), which callers send in `Idempotency-Key`. */
import {randomBytes} from 'node:crypto';

const VERSION_7 = 0x70;
const VARIANT = 0x80;

/** Generates a UUID of version 7 with the Unix time `now` in ms. */
export function uuidV7(now: number): string {
	const bytes = randomBytes(16);
	bytes.writeUIntBE(now, 0, 6);
	bytes[6] = VERSION_7 + (bytes[6]! % 16);
	bytes[8] = VARIANT + (bytes[8]! % 64);
	const hex = bytes.toString('hex');
	return [hex.slice(0, 8), hex.slice(8, 12), hex.slice(12, 16), hex.slice(16, 20), hex.slice(20)].join('-');
}
