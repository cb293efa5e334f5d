/** Routes calls to plain services: a route decides whether a call is idempotent and how long it may take. */
import type {PlainRoute} from '../configuration/schema.js';
import {monotonicMs, type Clock} from '../util/clock.js';
import {failure, type Failure} from '../util/failure.js';
import {IdempotentSender} from './idempotent-sender.js';
import type {OperationExecutor} from './operation-executor.js';
import type {PlainCall, PlainResult, SenderOptions} from './plain-call.js';

/** What the router uses. */
export type PlainRouterOptions = Omit<SenderOptions, 'clock'> & {
	readonly executor: OperationExecutor;
	readonly clock?: Clock;
};

/** Executes authenticated calls to plain services. */
export class PlainRouter {
	static create(options: PlainRouterOptions): PlainRouter {
		return new PlainRouter(options);
	}

	readonly #executor: OperationExecutor;
	readonly #sender: IdempotentSender;
	readonly #clock: Clock;

	private constructor({executor, reservations, client, clock = monotonicMs}: PlainRouterOptions) {
		this.#executor = executor;
		this.#clock = clock;
		this.#sender = IdempotentSender.create({reservations, client, clock});
	}

	async handle(call: PlainCall): Promise<PlainResult> {
		const route = findRoute(call);
		if (route.kind === 'failure') {
			return route;
		}

		const deadline = Math.min(call.deadline, this.#clock() + route.route.timeoutMs);
		const routed = {...call, deadline, route: route.route};
		return route.route.idempotent ? this.#sender.send(routed) : this.#executor.execute(routed);
	}
}

/** A path that a service could resolve to another one would be matched with the wrong route. */
const isAmbiguous = (path: string): boolean => /\/\/|\/\.{1,2}(?:\/|$)|%2e|%2f|%5c|\\/iv.test(path);

/** Finds the first route that matches a call by method and path prefix. */
export function findRoute({service, method, path}: Pick<PlainCall, 'service' | 'method' | 'path'>): Failure | {readonly kind: 'route'; readonly route: PlainRoute} {
	const pathname = path.split('?', 1)[0]!;
	if (!pathname.startsWith('/') || isAmbiguous(pathname)) {
		return refusal(`the path ${pathname} is not in its simplest form; send it without dot segments, empty segments and encoded slashes`);
	}

	const route = service.routes.find(candidate => candidate.method === method && isBelow(pathname, candidate.pathPrefix));
	return route ? {kind: 'route', route} : refusal(`service ${service.name} has no route for ${method} ${pathname}`);
}

/** A prefix matches whole segments: `/orders` matches `/orders/1`, and not `/orders-old`. */
function isBelow(pathname: string, prefix: string): boolean {
	return pathname === prefix || pathname.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`);
}

const refusal = (message: string): Failure => failure({
	code: 'invalid_request', message, ran: 'not_run', step: 'parse', param: 'path',
});
