/** An undici client that fails responses of which undici does not notice that they are incomplete or invalid. */
import type {Socket} from 'node:net';
import {Client, Pool, type Dispatcher} from 'undici';
import type {ConnectionOpener} from './checked-connector.js';
import {watchReset} from './reset-watch.js';

/** Statuses above are invalid (RFC 9110, section 15). undici itself fails those below 100. */
const MAX_STATUS = 599;

type HandlerMethods = Readonly<Record<string, ((...args: unknown[]) => unknown) | undefined>>;

/** Uses one connection at a time, for one request at a time. */
export class CheckedClient extends Client {
	/** Of the current connection. */
	#reset: Error | undefined;

	constructor(origin: string | URL, {connect, ...options}: Client.Options & {readonly connect: ConnectionOpener}) {
		super(origin, {
			...options,
			pipelining: 1,
			connect: (target, callback) => {
				connect(target, (...[err, socket]) => {
					if (err === null) {
						this.#watch(socket);
						callback(null, socket);
					} else {
						callback(err, null);
					}
				});
			},
		});
	}

	override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		return super.dispatch(options, this.#check(handler));
	}

	#watch(socket: Socket): void {
		this.#reset = undefined;
		watchReset(socket, err => {
			this.#reset ??= err;
		});
	}

	/** Wraps a handler of either of undici's two interfaces. A response that ends after a reset has no length, and may be incomplete. */
	#check(handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
		const methods = handler as HandlerMethods;
		const replacements: HandlerMethods = {
			onHeaders(...args) {
				checkStatus(args[0]);
				return methods.onHeaders?.(...args);
			},
			onResponseStart(...args) {
				checkStatus(args[1]);
				methods.onResponseStart?.(...args);
			},
			onComplete: (...args) => {
				const err = this.#reset;
				return err ? methods.onError?.(err) : methods.onComplete?.(...args);
			},
			onResponseEnd: (...args) => {
				const err = this.#reset;
				return err ? methods.onResponseError?.(args[0], err) : methods.onResponseEnd?.(...args);
			},
		};
		return new Proxy(handler, {
			get(target, name) {
				const method: unknown = Reflect.get(target, name);
				if (typeof method !== 'function') {
					return method;
				}

				return replacements[String(name)] ?? method.bind(target) as unknown;
			},
		});
	}
}

/** Throws on an invalid status. undici then fails the request with the error. */
function checkStatus(status: unknown): void {
	if (Number(status) > MAX_STATUS) {
		throw new Error(`${String(status)} is no HTTP status`);
	}
}

/** Creates a pool of such clients for one origin, for use as the `factory` of an `Agent`. */
export const createCheckedPool = (origin: string | URL, options: object): Pool =>
	new Pool(origin, {...options, factory: (url, clientOptions) => new CheckedClient(url, clientOptions as {readonly connect: ConnectionOpener})});
