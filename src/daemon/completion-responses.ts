/** Responses of the two completion endpoints, as OpenAI clients expect them. */
import type {z} from 'zod';
import type {DoneEvent} from '../backend/engine-protocol.js';
import {chatRequestSchema, textRequestSchema, type CompletionRequest} from './completion-requests.js';

/** Fields that all parts of one response share. */
export type ResponseHead = {
	readonly id: string;
	/** Unix time in seconds. */
	readonly created: number;
	readonly model: string;
};

/** The differences between the two endpoints. */
export type CompletionFormat = {
	readonly schema: z.ZodType<CompletionRequest>;
	readonly idPrefix: string;
	/** Object type of a whole response and of one event of a stream. */
	readonly object: string;
	readonly chunkObject: string;
	/** `choices[0]` of a whole response. */
	choice(text: string): Readonly<Record<string, unknown>>;
	/** `choices[0]` of one event; `isFirst` marks the first one. */
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

/** A whole response. */
export const wholeResponse = (format: CompletionFormat, head: ResponseHead, text: string, done: DoneEvent) => ({
	...head,
	object: format.object,
	choices: [{index: 0, ...format.choice(text), finish_reason: done.finishReason}],
	usage: usageOf(done),
});

/** An event that holds text. */
export const textChunk = (format: CompletionFormat, head: ResponseHead, text: string, isFirst: boolean) => ({
	...head,
	object: format.chunkObject,
	choices: [{index: 0, ...format.delta(text, isFirst), finish_reason: null}],
});

/** The event that says why the text ends. */
export function finishChunk(format: CompletionFormat, head: ResponseHead, done: DoneEvent) {
	const choice = format === chatFormat ? {delta: {}} : {text: ''};
	return {
		...head, object: format.chunkObject, choices: [{
			index: 0, ...choice, logprobs: null, finish_reason: done.finishReason,
		}],
	};
}

/** The event that holds token counts. */
export const usageChunk = (format: CompletionFormat, head: ResponseHead, done: DoneEvent) => ({
	...head, object: format.chunkObject, choices: [], usage: usageOf(done),
});
