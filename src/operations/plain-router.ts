/** Routes calls to plain services. The route determines whether a call is idempotent, and its time limit. */
import type {PlainRoute} from '../configuration/schema.js';
import {monotonicMs, type Clock} from '../util/clock.js';
import {failure, type Failure} from '../util/failure.js';
import {IdempotentSender} from './idempotent-sender.js';
import type {OperationExecutor} from './operation-executor.js';
import type {PlainCall, PlainResult, SenderOptions} from './plain-call.js';

export type PlainRouterOptions = Omit<SenderOptions, 'clock'> & {
	readonly executor: OperationExecutor;
	readonly clock?: Clock;
};

/** Executes authenticated calls to plain services by their route. */
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

/** Whether a service could normalize the path to a different one, so that the wrong route would be matched. */
const isNotNormalized = (path: string): boolean => /\/\/|\/\.{1,2}(?:\/|$)|%2e|%2f|%5c|\\/iv.test(path);

/** Finds the first route that matches a call by method and path prefix. */
export function findRoute({service, method, path}: Pick<PlainCall, 'service' | 'method' | 'path'>): Failure | {readonly kind: 'route'; readonly route: PlainRoute} {
	const pathname = path.split('?', 1)[0]!;
	if (!pathname.startsWith('/') || isNotNormalized(pathname)) {
		return routeFailure(`the path ${pathname} is not normalized; send it without dot segments, empty segments, backslashes and percent-encoded dots or slashes`);
	}

	const route = service.routes.find(candidate => candidate.method === method && matchesPrefix(pathname, candidate.pathPrefix));
	return route ? {kind: 'route', route} : routeFailure(`service ${service.name} has no route for ${method} ${pathname}`);
}

/** A prefix matches whole path segments: `/orders` matches `/orders/1`, but not `/orders-old`. */
function matchesPrefix(pathname: string, prefix: string): boolean {
	return pathname === prefix || pathname.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`);
}

const routeFailure = (message: string): Failure => failure({
	code: 'invalid_request', message, ran: 'not_run', step: 'parse', param: 'path',
});
