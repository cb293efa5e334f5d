/** Numbers that look random but depend on their arguments only. */
import {createHash} from 'node:crypto';

/** An integer of 32 bits without a sign. */
export const hash32 = (...parts: ReadonlyArray<string | number>): number =>
	createHash('sha1').update(parts.join('|')).digest().readUInt32BE(0);

/** A number from 0 to below 1. */
export const uniformHash = (...parts: ReadonlyArray<string | number>): number => hash32(...parts) / (2 ** 32);
