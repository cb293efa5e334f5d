import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {DomainsOut} from '../src/fleet/domains-out.js';

describe('failure domains out of service', () => {
	let domainsOut: DomainsOut;

	beforeEach(() => {
		domainsOut = DomainsOut.create();
		domainsOut.add('braga');
	});

	it('should follow changes and lists', () => {
		domainsOut.add('famalicao');
		domainsOut.remove('braga');
		expect(domainsOut.list(0)).toEqual(['famalicao']);
		domainsOut.replace(['braga'], false, 0);
		expect(domainsOut.list(0)).toEqual(['braga']);
	});

	it('should keep a domain out of service that a restored store lacks, until the operator had time to write it again', () => {
		domainsOut.replace([], true, 1000);
		expect([domainsOut.has('braga', 1000), domainsOut.has('braga', 5999), domainsOut.has('braga', 6000)]).toEqual([true, true, false]);
	});

	it('should keep it out when the restored store is listed again, and not prolong the time', () => {
		domainsOut.replace([], true, 1000);
		domainsOut.replace([], false, 2000);
		expect(domainsOut.has('braga', 2000)).toBe(true);
		domainsOut.replace([], true, 3000);
		expect(domainsOut.has('braga', 6000)).toBe(false);
	});

	it('should keep it out beyond that time when the operator has written it again, and end it when it is taken back', () => {
		domainsOut.replace([], true, 1000);
		domainsOut.add('braga');
		expect(domainsOut.has('braga', 9000)).toBe(true);
		domainsOut.remove('braga');
		expect(domainsOut.has('braga', 9000)).toBe(false);
	});
});
