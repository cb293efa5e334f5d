/**
 * Interface to the platform's lagging list of backend server hosts.
 *
 * Protocol: `GET /v1/hosts` answers 200 `{version, hosts: [Host]}`. With `ETag` in the answer and `If-None-Match` in the
 * next request, an unchanged list is answered with 304 (RFC 9110, section 13.1.2); servers may leave this out.
 */
import {z} from 'zod';

/** One backend server as the platform lists it. `address` is IP:PORT. */
export const hostSchema = z.object({
	id: z.string().min(1),
	address: z.string().min(1),
	service: z.string().min(1),
	failureDomain: z.string().min(1),
	state: z.enum(['live', 'leaving']),
}).readonly();

export const hostListSchema = z.object({
	version: z.number().int(),
	hosts: z.array(hostSchema).readonly(),
}).readonly();

export type Host = z.infer<typeof hostSchema>;
export type HostList = z.infer<typeof hostListSchema>;
