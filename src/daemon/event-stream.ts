/** A response of server-sent events that never buffers more than the socket takes. */
import type {ServerResponse} from 'node:http';

/** A caller that takes no data for this long is cut off, since its stream holds memory at an engine. */
const SLOW_READER_LIMIT_MS = 30_000;

/** Writes events to one response. The response starts with the first event. */
export class EventStream {
	static create(res: ServerResponse): EventStream {
		return new EventStream(res);
	}

	private constructor(private readonly res: ServerResponse) {}

	/** Whether the response has started, so that its status can no longer change. */
	get started(): boolean {
		return this.res.headersSent;
	}

	/** Sends one event with JSON data. Resolves when the caller can take more, has left, or `signal` is aborted. */
	async send(data: unknown, signal?: AbortSignal): Promise<void> {
		return this.#write(`data: ${JSON.stringify(data)}\n\n`, signal);
	}

	/** Ends the stream; `complete` adds the marker by which OpenAI clients recognise the end. */
	end(complete: boolean): void {
		if (!this.res.destroyed) {
			this.res.end(complete ? 'data: [DONE]\n\n' : '');
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
			await drained(res, signal);
		}
	}
}

/** Waits until the response takes data again, is closed, or `signal` is aborted. Cuts off a caller that stops reading. */
async function drained(res: ServerResponse, signal?: AbortSignal): Promise<void> {
	return new Promise(resolve => {
		const timer = setTimeout(() => {
			res.destroy();
		}, SLOW_READER_LIMIT_MS);
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
