/** Counts the bytes of sockets, for the cost of control traffic. Bytes are those of the TCP streams, headers included. */
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

	readonly #open = new Set<Socket>();
	#receivedBytes = 0;
	#sentBytes = 0;

	private constructor() {
		// Created by `create`.
	}

	/** Counts what a newly connected socket receives and sends until it closes. */
	watch(socket: Socket): void {
		if (this.#open.has(socket)) {
			return;
		}

		this.#open.add(socket);
		socket.once('close', () => {
			this.#open.delete(socket);
			this.#receivedBytes += socket.bytesRead;
			this.#sentBytes += socket.bytesWritten;
		});
	}

	/** Bytes of all sockets that were watched, open ones included. */
	total(): Traffic {
		const open = [...this.#open];
		return {
			receivedBytes: open.reduce((sum, socket) => sum + socket.bytesRead, this.#receivedBytes),
			sentBytes: open.reduce((sum, socket) => sum + socket.bytesWritten, this.#sentBytes),
		};
	}
}

/** A connector whose connections `meter` counts. */
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
