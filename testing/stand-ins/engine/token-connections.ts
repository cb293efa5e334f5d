/** Open connections to which a simulated engine writes the events of its streams. */
import type {ServerResponse} from 'node:http';
import type {TokenEvent} from '../../../src/backend/engine-protocol.js';

/** Connection that receives the events of one stream. A silent connection stays open but receives nothing more. */
export type TokenConnection = {
	readonly res: ServerResponse;
	readonly id: string;
	/** Index of the first token to write. */
	readonly from: number;
	isSilent: boolean;
	tokensUntilSilent: number;
};

const writeEvent = (res: ServerResponse, event: string, data: unknown): void => {
	res.write(`event: ${event}\ndata: ${JSON.stringify(data)}\n\n`);
};

export class TokenConnections {
	static create(): TokenConnections {
		return new TokenConnections();
	}

	/** Remaining number of token events to write to the connection of another stream. */
	swapTokens = 0;
	readonly #connections = new Set<TokenConnection>();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Adds a connection; it is removed when it closes. */
	open(res: ServerResponse, id: string, from: number, tokensUntilSilent: number): TokenConnection {
		const connection: TokenConnection = {
			res, id, from, isSilent: false, tokensUntilSilent,
		};
		this.#connections.add(connection);
		res.on('close', () => this.#connections.delete(connection));
		return connection;
	}

	/** Writes a token to all connections of its stream. */
	broadcastToken(event: TokenEvent): void {
		for (const connection of this.#connectionsOf(event.id)) {
			this.writeToken(connection, event);
		}
	}

	/** Writes a token to one connection, or to another one as a fault; skips silent connections. */
	writeToken(connection: TokenConnection, event: TokenEvent): void {
		const target = this.#redirect(connection);
		if (target.isSilent || event.index < connection.from) {
			return;
		}

		writeEvent(target.res, 'token', event);
		target.tokensUntilSilent--;
		target.isSilent = target.tokensUntilSilent <= 0;
	}

	/** Writes the last event of a stream and ends its connections. */
	end(id: string, event: 'done' | 'failed', data: unknown): void {
		for (const connection of this.#connectionsOf(id)) {
			if (!connection.isSilent) {
				writeEvent(connection.res, event, data);
				connection.res.end();
			}
		}
	}

	/** Stops all output on the connections that are currently open. */
	silence(): void {
		for (const connection of this.#connections) {
			connection.isSilent = true;
		}
	}

	#connectionsOf(id: string): readonly TokenConnection[] {
		return [...this.#connections].filter(connection => connection.id === id && !connection.res.writableEnded);
	}

	#redirect(connection: TokenConnection): TokenConnection {
		const other = this.swapTokens > 0 ? [...this.#connections].find(candidate => candidate.id !== connection.id) : undefined;
		this.swapTokens -= other ? 1 : 0;
		return other ?? connection;
	}
}
