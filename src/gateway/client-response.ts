/** The response to one client: a whole answer, a failure, or the events of a stream over several attempts. */
import type {RawEvent} from '../forwarding/event-splitter.js';
import {sendFailure, statusOf} from '../http/error-response.js';
import type {Clock} from '../util/clock.js';
import type {Failure} from '../util/failure.js';
import type {Answer, EventSink} from './attempt.js';
import type {GatewayRequest} from './gateway-request.js';

export class ClientResponse implements EventSink {
	static create(request: GatewayRequest, clock: Clock): ClientResponse {
		return new ClientResponse(request, clock);
	}

	readonly #controller = new AbortController();
	#lastEventId: number | undefined;
	#firstEventAt: number | undefined;
	#lastEventAt = 0;
	#longestGapMs = 0;

	private constructor(private readonly request: GatewayRequest, private readonly clock: Clock) {
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

	/** Time in ms from the request's arrival to its first event, and the longest pause between events. */
	get pace(): {readonly firstEventMs: number | undefined; readonly longestGapMs: number} {
		const firstEventMs = this.#firstEventAt === undefined ? undefined : this.#firstEventAt - this.request.arrivedAt;
		return {firstEventMs, longestGapMs: this.#longestGapMs};
	}

	event(head: readonly string[], event: RawEvent): boolean {
		const {res} = this.request;
		if (!res.headersSent) {
			res.writeHead(200, [...head]);
		}

		this.#noteEvent(this.clock());
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

	#noteEvent(now: number): void {
		if (this.#firstEventAt === undefined) {
			this.#firstEventAt = now;
		} else {
			this.#longestGapMs = Math.max(this.#longestGapMs, now - this.#lastEventAt);
		}

		this.#lastEventAt = now;
	}
}
