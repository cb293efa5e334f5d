/** Batches the messages for each address into few datagrams. */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:dgram';
import type {Logger} from '../util/logger.js';
import type {ContactRole, Member} from './fleet-topology.js';

/** Size in bytes beyond which a new datagram is started, so that most fit into one packet of 1,500 bytes. */
const MAX_DATAGRAM_BYTES = 1300;
/**
 * Time in ms for which messages are batched: a relay sends at most 50 datagrams a second to each follower. First events
 * are due after some hundreds of ms, so the delay is acceptable.
 */
const BATCH_DELAY_MS = 20;

type DatagramBatch = {readonly address: string; readonly as: ContactRole; readonly texts: string[]; bytes: number};

export class DatagramBatcher {
	static create(socket: Socket, port: number, self: Member, logger: Logger): DatagramBatcher {
		return new DatagramBatcher(socket, port, self, logger);
	}

	readonly #batches = new Map<string, DatagramBatch>();
	#timer: NodeJS.Timeout | undefined;
	#isClosed = false;

	private constructor(
		private readonly socket: Socket,
		private readonly port: number,
		private readonly self: Member,
		private readonly logger: Logger,
	) {}

	/** Adds `text`, a message in JSON, to the next datagram for `address`. */
	enqueue(address: string, as: ContactRole, text: string): void {
		const key = `${as} ${address}`;
		let batch = this.#batches.get(key);
		if (batch && batch.bytes + text.length > MAX_DATAGRAM_BYTES) {
			this.#send(batch);
			batch = undefined;
		}

		if (!batch) {
			batch = {
				address, as, texts: [], bytes: 0,
			};
			this.#batches.set(key, batch);
		}

		batch.texts.push(text);
		batch.bytes += text.length;
		this.#timer ??= setTimeout(() => {
			this.flush();
		}, BATCH_DELAY_MS);
	}

	/** Sends all batches. */
	flush(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		for (const batch of this.#batches.values()) {
			this.#send(batch);
		}

		this.#batches.clear();
	}

	close(): void {
		this.flush();
		this.#isClosed = true;
	}

	#send({address, as, texts}: DatagramBatch): void {
		if (this.#isClosed || texts.length === 0) {
			return;
		}

		const {failureDomain, cores} = this.self;
		const head = JSON.stringify({as, failureDomain, cores}).slice(0, -1);
		this.socket.send(Buffer.from(`${head},"messages":[${texts.join(',')}]}`), this.port, address, err => {
			if (err) {
				this.logger.debug('peer_send_failed', {peer: address, message: err.message});
			}
		});
	}
}
