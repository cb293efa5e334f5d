/** The response to one client: a whole answer, a failure, or the events of a stream over several attempts. */
import type {RawEvent} from '../forwarding/event-splitter.js';
import {sendFailure, statusOf} from '../http/error-response.js';
import type {Failure} from '../util/failure.js';
import type {Answer, EventSink} from './attempt.js';
import type {GatewayRequest} from './gateway-request.js';

export class ClientResponse implements EventSink {
	static create(request: GatewayRequest): ClientResponse {
		return new ClientResponse(request);
	}

	readonly #controller = new AbortController();
	#lastEventId: number | undefined;
	#events = 0;

	private constructor(private readonly request: GatewayRequest) {
		const {res, facts} = request;
		this.#lastEventId = facts.lastEventId;
		res.on('close', () => {
			if (!res.writableFinished) {
				this.#controller.abort();
			}
		});
		if (res.destroyed) {
			this.#controller.abort();
		}
	}

	/** Aborted when the client has left before its response was complete. */
	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	get lastEventId(): number | undefined {
		return this.#lastEventId;
	}

	event(head: readonly string[], event: RawEvent): boolean {
		const {res} = this.request;
		if (!res.headersSent) {
			res.writeHead(200, [...head]);
		}

		this.#events++;
		this.#lastEventId = event.id ?? this.#lastEventId;
		return res.write(event.bytes);
	}

	onceWritable(callback: () => void): void {
		this.request.res.once('drain', callback);
	}

	end(): void {
		this.request.res.end();
	}

	sendAnswer({status, headers, body}: Answer): void {
		const {res} = this.request;
		if (res.headersSent) {
			// A stream cannot change into another response: what follows would look like its end.
			res.destroy();
			return;
		}

		res.writeHead(status, [...headers, 'content-length', String(body.length)]);
		res.end(body);
	}

	/** Sends a failure, or cuts a stream that has begun. Returns the status for the log. */
	fail(failed: Failure, formatRetryAfter: (ms: number) => string): number {
		const {res} = this.request;
		if (res.headersSent) {
			res.destroy();
		} else {
			sendFailure(res, failed, formatRetryAfter);
		}

		return statusOf(failed.code);
	}
}
