/** Reads the server-sent events of an engine stream, one at a time. */
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import type {EngineEvent, EngineEvents} from '../streams/engine-streams.js';
import {messageOf} from './engine-connection.js';
import {doneEventSchema, failedEventSchema, tokenEventSchema} from './engine-protocol.js';

/** Size limit of an event in characters; tokens and failure messages are far smaller. */
const MAX_EVENT_CHARACTERS = 65_536;

const SILENT = {kind: 'silent'} as const;

/** Parses one event. Returns undefined for an unknown event type, which is ignored. */
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

/** Waits for `promise`, but at most `limitMs`. */
async function raceWithLimit<T>(promise: Promise<T>, limitMs: number): Promise<T | typeof SILENT> {
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

/** Reads events from a response body. Buffers at most one chunk of the body, since it reads only when an event is requested. */
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
				ready.push({kind: 'closed', message: `event is larger than ${MAX_EVENT_CHARACTERS} characters`});
			}
		},
	});

	/** Reads and parses one chunk. Resolves with an event only if the connection has ended. */
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

				// The read that timed out in an earlier call may still be pending.
				pending ??= readChunk();
				const ended = await raceWithLimit(pending, Math.max(0, until - performance.now()));
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
