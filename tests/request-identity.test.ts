import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {RequestIdentity, type RequestIdentityFields} from '../src/quarantine/request-identity.js';

const fields: RequestIdentityFields = {
	host: 'desk.example', method: 'POST', path: '/chat/x?y=1', workspace: 'quintas', body: Buffer.from('{}'),
};

const digestOf = (changes: Partial<RequestIdentityFields> = {}): string => RequestIdentity.create({...fields, ...changes}).digest;

describe('identity of a request', () => {
	it('should be the same for a repeat with the same host, method, path, workspace and body', () => {
		expect(digestOf()).toBe(digestOf({body: new Uint8Array(Buffer.from('{}'))}));
		expect(digestOf()).toMatch(/^[\da-f]{32}$/v);
	});

	it('should differ if any of these differs', () => {
		const changes: ReadonlyArray<Partial<RequestIdentityFields>> = [
			{}, {host: 'other.example'}, {method: 'GET'}, {path: '/chat/x'}, {workspace: undefined}, {workspace: 'lojas'}, {body: new Uint8Array()},
		];
		expect(new Set(changes.map(change => digestOf(change))).size).toBe(changes.length);
	});
});
