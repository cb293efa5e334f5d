/** Digests of API keys. The configuration and the object API hold digests only, never the keys. */
import {createHash} from 'node:crypto';

/** SHA-256 of an API key in lower-case hex, as the configuration lists it. */
export const digestApiKey = (key: string): string => createHash('sha256').update(key, 'utf8').digest('hex');
