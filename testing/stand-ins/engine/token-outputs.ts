/** Open connections on which a simulated engine writes the events of its streams. */
import type {ServerResponse} from 'node:http';
import type {TokenEvent} from '../../../src/backend/engine-protocol.js';

/** One connection. A silent one stays open and is not written to any more. */
export type Output = {
	readonly res: ServerResponse;
	readonly id: string;
	/** First token index that it carries. */
	readonly from: number;
	isSilent: boolean;
	tokensUntilSilent: number;
};

const writeEvent = (res: ServerResponse, event: string, data: unknown): void => {
	res.write(`event: ${event}\ndata: ${JSON.stringify(data)}\n\n`);
};

export class TokenOutputs {
	static create(): TokenOutputs {
		return new TokenOutputs();
	}

	/** Number of token events that go to the connection of another stream. */
	swapTokens = 0;
	readonly #outputs = new Set<Output>();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Adds a connection; it is dropped when the client leaves. */
	open(res: ServerResponse, id: string, from: number, tokensUntilSilent: number): Output {
		const output: Output = {
			res, id, from, isSilent: false, tokensUntilSilent,
		};
		this.#outputs.add(output);
		res.on('close', () => this.#outputs.delete(output));
		return output;
	}

	/** Writes a token to every connection of its stream. */
	token(event: TokenEvent): void {
		for (const output of this.#of(event.id)) {
			this.writeToken(output, event);
		}
	}

	/** Writes a token to one connection, unless a fault diverts it or the connection is silent. */
	writeToken(output: Output, event: TokenEvent): void {
		const target = this.#divert(output);
		if (target.isSilent || event.index < output.from) {
			return;
		}

		writeEvent(target.res, 'token', event);
		target.tokensUntilSilent--;
		target.isSilent = target.tokensUntilSilent <= 0;
	}

	/** Writes the last event of a stream and ends its connections. */
	end(id: string, event: 'done' | 'failed', data: unknown): void {
		for (const output of this.#of(id)) {
			if (!output.isSilent) {
				writeEvent(output.res, event, data);
				output.res.end();
			}
		}
	}

	/** Writes nothing more on the connections that are open now. */
	silence(): void {
		for (const output of this.#outputs) {
			output.isSilent = true;
		}
	}

	#of(id: string): readonly Output[] {
		return [...this.#outputs].filter(output => output.id === id && !output.res.writableEnded);
	}

	#divert(output: Output): Output {
		const other = this.swapTokens > 0 ? [...this.#outputs].find(candidate => candidate.id !== output.id) : undefined;
		this.swapTokens -= other ? 1 : 0;
		return other ?? output;
	}
}
