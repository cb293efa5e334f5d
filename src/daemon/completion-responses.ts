/** Builds the responses of the two completion endpoints in the format that OpenAI clients expect. */
import type {z} from 'zod';
import type {DoneEvent} from '../backend/engine-protocol.js';
import {chatRequestSchema, textRequestSchema, type CompletionRequest} from './completion-requests.js';

/** Fields that are the same in all events of one response. */
export type ResponseHead = {
	readonly id: string;
	/** Unix time in seconds. */
	readonly created: number;
	readonly model: string;
};

/** The endpoint-specific parts of requests and responses. */
export type CompletionFormat = {
	readonly schema: z.ZodType<CompletionRequest>;
	readonly idPrefix: string;
	/** Values of `object` in a non-streamed response and in the events of a stream. */
	readonly object: string;
	readonly chunkObject: string;
	/** Returns the endpoint-specific fields of `choices[0]` for a non-streamed response. */
	choice(text: string): Readonly<Record<string, unknown>>;
	/** Returns the endpoint-specific fields of `choices[0]` for one event; `isFirst` is true for the first one. */
	delta(text: string, isFirst: boolean): Readonly<Record<string, unknown>>;
};

export const chatFormat: CompletionFormat = {
	schema: chatRequestSchema,
	idPrefix: 'chatcmpl-',
	object: 'chat.completion',
	chunkObject: 'chat.completion.chunk',
	choice: text => ({message: {role: 'assistant', content: text, refusal: null}, logprobs: null}),
	delta: (text, isFirst) => ({delta: isFirst ? {role: 'assistant', content: text} : {content: text}, logprobs: null}),
};

export const textFormat: CompletionFormat = {
	schema: textRequestSchema,
	idPrefix: 'cmpl-',
	object: 'text_completion',
	chunkObject: 'text_completion',
	choice: text => ({text, logprobs: null}),
	delta: text => ({text, logprobs: null}),
};

const usageOf = ({promptTokens, completionTokens, cachedTokens}: DoneEvent) => ({
	prompt_tokens: promptTokens,
	completion_tokens: completionTokens,
	total_tokens: promptTokens + completionTokens,
	prompt_tokens_details: {cached_tokens: cachedTokens},
});

/** Builds a non-streamed response. */
export const wholeResponse = (format: CompletionFormat, head: ResponseHead, text: string, done: DoneEvent) => ({
	...head,
	object: format.object,
	choices: [{index: 0, ...format.choice(text), finish_reason: done.finishReason}],
	usage: usageOf(done),
});

/** Builds an event with generated text. */
export const textChunk = (format: CompletionFormat, head: ResponseHead, text: string, isFirst: boolean) => ({
	...head,
	object: format.chunkObject,
	choices: [{index: 0, ...format.delta(text, isFirst), finish_reason: null}],
});

/** Builds the event with the finish reason. */
export function finishChunk(format: CompletionFormat, head: ResponseHead, done: DoneEvent) {
	const choice = format === chatFormat ? {delta: {}} : {text: ''};
	return {
		...head, object: format.chunkObject, choices: [{
			index: 0, ...choice, logprobs: null, finish_reason: done.finishReason,
		}],
	};
}

/** Builds the event with token counts. */
export const usageChunk = (format: CompletionFormat, head: ResponseHead, done: DoneEvent) => ({
	...head, object: format.chunkObject, choices: [], usage: usageOf(done),
});
