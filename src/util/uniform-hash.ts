/** Numbers that look random but depend on their arguments only. */
import {createHash} from 'node:crypto';

/** A number from 0 to below 1. */
export const uniformHash = (...parts: ReadonlyArray<string | number>): number =>
	createHash('sha1').update(parts.join('|')).digest().readUInt32BE(0) / (2 ** 32);
