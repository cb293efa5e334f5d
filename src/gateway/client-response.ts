/** The response to one client: a whole response, a failure, or the events of a stream over several attempts. */
import {breakOff} from '../http/break-off.js';
import {canAnswer} from '../http/can-answer.js';
import {sendFailure} from '../http/error-response.js';
import type {Clock} from '../util/clock.js';
import type {Failure} from '../util/failure.js';
import type {EventSink} from './attempt.js';
import type {BufferedResponse} from './attempt-result.js';
import type {GatewayRequest} from './gateway-request.js';

export class ClientResponse implements EventSink {
	static create(request: GatewayRequest, clock: Clock): ClientResponse {
		return new ClientResponse(request, clock);
	}

	readonly #disconnectController = new AbortController();
	#lastEventId: number | undefined;
	#firstEventAt: number | undefined;
	#lastEventAt = 0;
	#longestGapMs = 0;

	private constructor(private readonly request: GatewayRequest, private readonly clock: Clock) {
		const {req, res, metadata} = request;
		this.#lastEventId = metadata.lastEventId;
		res.on('close', () => {
			if (!res.writableFinished) {
				this.#disconnectController.abort();
			}
		});
		if (res.destroyed || !canAnswer(req)) {
			this.#disconnectController.abort();
		}
	}

	/** Aborted when the client disconnects before its response is complete. */
	get signal(): AbortSignal {
		return this.#disconnectController.signal;
	}

	/** Whether the connection of the client can still carry what is sent next. */
	get isSendable(): boolean {
		return canAnswer(this.request.req);
	}

	get lastEventId(): number | undefined {
		return this.#lastEventId;
	}

	get hasBegun(): boolean {
		return this.request.res.headersSent;
	}

	/** Time in ms from the arrival of the request to its first event, and the longest pause between events. */
	get timing(): {readonly firstEventMs: number | undefined; readonly longestGapMs: number} {
		const firstEventMs = this.#firstEventAt === undefined ? undefined : this.#firstEventAt - this.request.arrivedAt;
		return {firstEventMs, longestGapMs: this.#longestGapMs};
	}

	get unsentBytes(): number {
		return this.request.res.writableLength;
	}

	writeEvents(head: readonly string[], bytes: Uint8Array, lastEventId: number | undefined): boolean {
		const {res} = this.request;
		if (!res.headersSent) {
			res.writeHead(200, [...head]);
		}

		this.#recordEvents(this.clock());
		this.#lastEventId = lastEventId ?? this.#lastEventId;
		return res.write(bytes);
	}

	onceDrained(callback: () => void): void {
		this.request.res.once('drain', callback);
	}

	/** Closes the connection, so that the response can't be taken for complete. */
	destroy(): void {
		breakOff(this.request.res);
	}

	/** Ends a stream. `head`: the headers of one without events. */
	end(head: readonly string[] = []): void {
		const {res} = this.request;
		if (!res.headersSent) {
			res.writeHead(200, [...head]);
		}

		res.end();
	}

	/** Sends a whole response. `onDropped` is called if it is broken off because its client reads too slowly. */
	sendBuffered({
		status, headers, body, account,
	}: BufferedResponse, onDropped: () => void): void {
		const {res} = this.request;
		account.startSending(() => {
			onDropped();
			this.destroy();
		});
		res.once('close', () => {
			account.close();
		});
		res.writeHead(status, [...headers, 'content-length', String(body.length)]);
		res.end(body);
	}

	/** Sends a failure, or closes the connection if a stream has begun. */
	fail(failed: Failure, formatRetryAfter: (ms: number) => string): void {
		const {res} = this.request;
		if (res.headersSent) {
			this.destroy();
		} else {
			this.#removeHeaders();
			sendFailure(res, failed, formatRetryAfter);
		}
	}

	/** Removes what an attempt to send the response of a server may have left. */
	#removeHeaders(): void {
		const {res} = this.request;
		for (const name of res.getHeaderNames()) {
			if (name !== 'connection') {
				res.removeHeader(name);
			}
		}
	}

	#recordEvents(now: number): void {
		if (this.#firstEventAt === undefined) {
			this.#firstEventAt = now;
		} else {
			this.#longestGapMs = Math.max(this.#longestGapMs, now - this.#lastEventAt);
		}

		this.#lastEventAt = now;
	}
}
