/** Sends a response as server-sent events, with backpressure. */
import type {ServerResponse} from 'node:http';

/** A client that reads no data for this long is disconnected, because its stream occupies memory at an engine. */
const SLOW_CLIENT_TIMEOUT_MS = 30_000;

/** Writes events to a response. Headers are sent with the first event. */
export class EventStream {
	static create(res: ServerResponse): EventStream {
		return new EventStream(res);
	}

	private constructor(private readonly res: ServerResponse) {}

	/** Whether headers have been sent, so that the status can no longer be changed. */
	get started(): boolean {
		return this.res.headersSent;
	}

	/** Sends one event with JSON data. Resolves when the socket accepts more data, is closed, or `signal` is aborted. */
	async send(data: unknown, signal?: AbortSignal): Promise<void> {
		return this.#write(`data: ${JSON.stringify(data)}\n\n`, signal);
	}

	/** Ends the stream. With `isComplete`, the `[DONE]` marker that OpenAI clients expect is sent first. */
	end(isComplete: boolean): void {
		if (!this.res.destroyed) {
			this.res.end(isComplete ? 'data: [DONE]\n\n' : '');
		}
	}

	async #write(text: string, signal?: AbortSignal): Promise<void> {
		const {res} = this;
		if (res.destroyed) {
			return;
		}

		if (!res.headersSent) {
			res.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-cache'});
		}

		if (!res.write(text)) {
			await waitForDrain(res, signal);
		}
	}
}

/** Waits until the response emits `drain`, is closed, or `signal` is aborted. Disconnects a client that stops reading. */
async function waitForDrain(res: ServerResponse, signal?: AbortSignal): Promise<void> {
	return new Promise(resolve => {
		const timer = setTimeout(() => {
			res.destroy();
		}, SLOW_CLIENT_TIMEOUT_MS);
		const finish = (): void => {
			clearTimeout(timer);
			res.off('drain', finish);
			res.off('close', finish);
			signal?.removeEventListener('abort', finish);
			resolve();
		};

		res.on('drain', finish);
		res.on('close', finish);
		signal?.addEventListener('abort', finish);
		if (signal?.aborted === true || res.destroyed) {
			finish();
		}
	});
}
