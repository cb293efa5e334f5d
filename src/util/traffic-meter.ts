/** Counts the bytes of sockets, to measure control traffic. Counts the bytes of the TCP streams, including HTTP headers. */
import type {Socket} from 'node:net';
import {buildConnector} from 'undici';

/** Bytes since the start of the process. */
export type Traffic = {
	readonly receivedBytes: number;
	readonly sentBytes: number;
};

export class TrafficMeter {
	static create(): TrafficMeter {
		return new TrafficMeter();
	}

	readonly #openSockets = new Set<Socket>();
	#receivedBytes = 0;
	#sentBytes = 0;

	private constructor() {
		// Created by `create`.
	}

	/** Counts the bytes that a newly connected socket receives and sends until it closes. */
	watch(socket: Socket): void {
		if (this.#openSockets.has(socket)) {
			return;
		}

		this.#openSockets.add(socket);
		socket.once('close', () => {
			this.#openSockets.delete(socket);
			this.#receivedBytes += socket.bytesRead;
			this.#sentBytes += socket.bytesWritten;
		});
	}

	/** Total bytes of all watched sockets, including open ones. */
	total(): Traffic {
		const open = [...this.#openSockets];
		return {
			receivedBytes: open.reduce((sum, socket) => sum + socket.bytesRead, this.#receivedBytes),
			sentBytes: open.reduce((sum, socket) => sum + socket.bytesWritten, this.#sentBytes),
		};
	}
}

/** Creates a connector whose connections are counted by `meter`. */
export function createMeteredConnector(options: buildConnector.BuildOptions, meter: TrafficMeter | undefined): buildConnector.connector {
	const connect = buildConnector(options);
	return (target, callback) => {
		connect(target, (...result) => {
			const [, socket] = result;
			if (socket) {
				meter?.watch(socket);
			}

			callback(...result);
		});
	};
}
