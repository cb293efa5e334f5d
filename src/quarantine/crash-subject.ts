/**
 * What a crash of a server may be due to: a part of a prompt, or one whole request, which comes again with other attempt ids.
 *
 * Subjects are strings in messages, tables and the store. Ids of parts are hexadecimal, so that the prefix of a request is unique.
 * Daemons of earlier versions take a request for one more part.
 */
import type {RequestIdentity} from './request-identity.js';

const REQUEST_PREFIX = 'request-';

export type CrashSubject =
	| {readonly kind: 'part'; readonly part: string}
	| {readonly kind: 'request'; readonly identity: string};

/** The subjects of one request. The digest of its identity is only computed where it is needed. */
export type RequestSubjects = {
	/** Parts that the prompt may share with others, in order. */
	readonly parts: readonly string[];
	readonly identity: Pick<RequestIdentity, 'digest'>;
};

export function parseSubject(subject: string): CrashSubject {
	return isRequest(subject) ? {kind: 'request', identity: subject.slice(REQUEST_PREFIX.length)} : {kind: 'part', part: subject};
}

export const requestSubject = ({identity}: RequestSubjects): string => `${REQUEST_PREFIX}${identity.digest}`;

export const isRequest = (subject: string): boolean => subject.startsWith(REQUEST_PREFIX);
