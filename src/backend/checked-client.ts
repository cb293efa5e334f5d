/** An undici client that fails responses of which undici does not notice that they are incomplete or invalid. */
import type {Socket} from 'node:net';
import {Client, Pool, type Dispatcher} from 'undici';
import {checkedStatus} from '../http/response-status.js';
import type {ConnectionOpener} from './checked-connector.js';
import {watchReset} from './reset-watch.js';

const MAX_SUCCESS_STATUS = 299;

/** What the socket of the current connection shows about its end. */
type ConnectionEnd = {
	reset: Error | undefined;
	/** The server closed the connection before the whole request had been written. */
	isUploadUnfinished: boolean;
};

type HandlerMethods = Readonly<Record<string, ((...args: unknown[]) => unknown) | undefined>>;

/** Uses one connection at a time, for one request at a time. */
export class CheckedClient extends Client {
	#end: ConnectionEnd = {reset: undefined, isUploadUnfinished: false};

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
		const end: ConnectionEnd = {reset: undefined, isUploadUnfinished: false};
		this.#end = end;
		watchReset(socket, err => {
			end.reset ??= err;
		});
		socket.prependListener('end', () => {
			end.isUploadUnfinished = socket.writableLength > 0;
		});
	}

	/** Wraps a handler of either of undici's two interfaces. */
	#check(handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
		const methods = handler as HandlerMethods;
		let status = 0;
		// What these throw becomes the failure of the request.
		const replacements: HandlerMethods = {
			onHeaders(...args) {
				status = checkedStatus(Number(args[0]));
				return methods.onHeaders?.(...args);
			},
			onResponseStart(...args) {
				status = checkedStatus(Number(args[1]));
				methods.onResponseStart?.(...args);
			},
			onComplete: (...args) => {
				const err = this.#incompleteness(status);
				return err ? methods.onError?.(err) : methods.onComplete?.(...args);
			},
			onResponseEnd: (...args) => {
				const err = this.#incompleteness(status);
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

	/**
	 * Why a response that has ended may be incomplete; undefined if it is whole. Only one without a length ends after its
	 * connection.
	 */
	#incompleteness(status: number): Error | undefined {
		const {reset, isUploadUnfinished} = this.#end;
		if (reset) {
			return reset;
		}

		// Some systems report a reset as an orderly end, and a server that does not read on resets the connection. An error may be early.
		return isUploadUnfinished && status <= MAX_SUCCESS_STATUS
			? new Error(`a response with status ${status} and no length ended before the request had been written`)
			: undefined;
	}
}

/** Creates a pool of such clients for one origin, for use as the `factory` of an `Agent`. */
export const createCheckedPool = (origin: string | URL, options: object): Pool =>
	new Pool(origin, {...options, factory: (url, clientOptions) => new CheckedClient(url, clientOptions as {readonly connect: ConnectionOpener})});
