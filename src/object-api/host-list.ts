/**
 * Interface to the platform's list of backend server hosts, which lags behind their actual state.
 *
 * Protocol: `GET /v1/hosts` answers 200 `{version, hosts: [Host]}`. If the answer had an `ETag` and the next request sends
 * it in `If-None-Match`, an unchanged list is answered with 304 (RFC 9110, section 13.1.2). Server support is optional.
 */
import {z} from 'zod';

/** A backend server as listed by the platform. `address` is IP:PORT. */
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
