/** Reads the server-sent events of an engine's stream, one at a time. */
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import type {EngineEvent, EngineEvents} from '../streams/engine-streams.js';
import {messageOf} from './engine-connection.js';
import {doneEventSchema, failedEventSchema, tokenEventSchema} from './engine-protocol.js';

/** Largest event in characters; a token or a message is far smaller. */
const MAX_EVENT_CHARACTERS = 65_536;

const SILENT = {kind: 'silent'} as const;

/** Parses one event. Returns undefined for an event type that is not known, which is ignored. */
function parseEvent(message: EventSourceMessage): EngineEvent | undefined {
	try {
		const data: unknown = JSON.parse(message.data);
		switch (message.event ?? '') {
			case 'token': {
				return {kind: 'token', event: tokenEventSchema.parse(data)};
			}

			case 'done': {
				return {kind: 'done', event: doneEventSchema.parse(data)};
			}

			case 'failed': {
				return {kind: 'failed', event: failedEventSchema.parse(data)};
			}

			default: {
				return undefined;
			}
		}
	} catch (err) {
		return {kind: 'closed', message: `malformed event: ${messageOf(err)}`};
	}
}

/** Waits for `promise`, or for `limitMs`. */
async function withinLimit<T>(promise: Promise<T>, limitMs: number): Promise<T | typeof SILENT> {
	let timer: NodeJS.Timeout | undefined;
	const limit = new Promise<typeof SILENT>(resolve => {
		timer = setTimeout(resolve, limitMs, SILENT);
	});
	try {
		return await Promise.race([promise, limit]);
	} finally {
		clearTimeout(timer);
	}
}

/** Reads events from a response body. Memory is bounded by one chunk of the body, since it reads on only when asked. */
export function readEngineEvents(body: AsyncIterable<Uint8Array>, close: () => void): EngineEvents {
	const chunks = body[Symbol.asyncIterator]();
	const decoder = new TextDecoder();
	const ready: EngineEvent[] = [];
	let pending: Promise<EngineEvent | undefined> | undefined;
	const parser = createParser({
		maxBufferSize: MAX_EVENT_CHARACTERS,
		onEvent(message) {
			const event = parseEvent(message);
			if (event) {
				ready.push(event);
			}
		},
		onError(err) {
			if (err.type === 'max-buffer-size-exceeded') {
				ready.push({kind: 'closed', message: `event above ${MAX_EVENT_CHARACTERS} characters`});
			}
		},
	});

	/** Reads one chunk. Resolves with an event only when the connection has ended. */
	async function readChunk(): Promise<EngineEvent | undefined> {
		try {
			const chunk = await chunks.next();
			if (chunk.done) {
				return {kind: 'closed', message: 'the connection ended before the stream was finished'};
			}

			parser.feed(decoder.decode(chunk.value, {stream: true}));
			return undefined;
		} catch (err) {
			return {kind: 'closed', message: messageOf(err)};
		}
	}

	return {
		async next(limitMs) {
			const until = performance.now() + limitMs;
			for (;;) {
				const event = ready.shift();
				if (event) {
					return event;
				}

				// After `silent` the same read is still under way.
				pending ??= readChunk();
				const ended = await withinLimit(pending, Math.max(0, until - performance.now()));
				if (ended === SILENT) {
					return SILENT;
				}

				pending = undefined;
				if (ended) {
					return ended;
				}
			}
		},
		close,
	};
}
