/**
 * Schemas for the bodies of `POST /v1/chat/completions` and `POST /v1/completions`. Engines have no sampling parameters,
 * so the common ones are accepted and ignored; parameters that change the shape of the response are rejected.
 */
import {z} from 'zod';

const MAX_MESSAGES = 10_000;

const ignoredParameters = {
	temperature: z.number().nullish(),
	top_p: z.number().nullish(),
	seed: z.number().int().nullish(),
	presence_penalty: z.number().nullish(),
	frequency_penalty: z.number().nullish(),
	user: z.string().nullish(),
	metadata: z.record(z.string(), z.string()).nullish(),
	store: z.boolean().nullish(),
};

const commonFields = {
	model: z.string().min(1),
	stream: z.boolean().nullish(),
	stream_options: z.strictObject({include_usage: z.boolean().optional()}).nullish(),
	max_tokens: z.number().int().positive().nullish(),
	n: z.literal(1).nullish(),
	...ignoredParameters,
};

const textPart = z.object({type: z.literal('text'), text: z.string()});

const messageSchema = z.object({
	role: z.enum(['system', 'developer', 'user', 'assistant']),
	content: z.union([z.string(), z.array(textPart)]),
	name: z.string().optional(),
});

const chatSchema = z.strictObject({
	...commonFields,
	messages: z.array(messageSchema).min(1).max(MAX_MESSAGES),
	max_completion_tokens: z.number().int().positive().nullish(),
});

const textSchema = z.strictObject({
	...commonFields,
	prompt: z.union([z.string(), z.array(z.string()).length(1)]),
});

/** A completion request in the form that both endpoints share. */
export type CompletionRequest = {
	readonly model: string;
	readonly prompt: string;
	readonly maxTokens: number | undefined;
	readonly stream: boolean;
	/** Whether the stream ends with an event that contains token counts. */
	readonly includeUsage: boolean;
};

type Message = z.infer<typeof messageSchema>;

/** Renders one message as ChatML. */
function renderMessage({role, content}: Message): string {
	const text = typeof content === 'string' ? content : content.map(part => part.text).join('');
	return `<|im_start|>${role}\n${text}<|im_end|>\n`;
}

/** Schema of a chat completion request. The prompt ends with the header of the assistant message to generate. */
export const chatRequestSchema = chatSchema.transform((body): CompletionRequest => ({
	model: body.model,
	prompt: `${body.messages.map(message => renderMessage(message)).join('')}<|im_start|>assistant\n`,
	maxTokens: body.max_completion_tokens ?? body.max_tokens ?? undefined,
	stream: body.stream ?? false,
	includeUsage: body.stream_options?.include_usage ?? false,
}));

/** Schema of a text completion request. */
export const textRequestSchema = textSchema.transform((body): CompletionRequest => ({
	model: body.model,
	prompt: typeof body.prompt === 'string' ? body.prompt : body.prompt[0]!,
	maxTokens: body.max_tokens ?? undefined,
	stream: body.stream ?? false,
	includeUsage: body.stream_options?.include_usage ?? false,
}));
