/** Computes API key digests. The configuration and the object API store digests only, never the keys. */
import {createHash} from 'node:crypto';

/** Returns the SHA-256 digest of an API key in lower-case hex, the format used in the configuration. */
export const digestApiKey = (key: string): string => createHash('sha256').update(key, 'utf8').digest('hex');
