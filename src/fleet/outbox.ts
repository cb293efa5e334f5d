/** Collects messages for each address and sends them in few datagrams. */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:dgram';
import type {Logger} from '../util/logger.js';
import type {ContactRole, Member} from './fleet-topology.js';

/** Bytes of a datagram beyond which a new one is started, so that most fit into one packet of 1,500 bytes. */
const DATAGRAM_BYTES = 1300;
/**
 * Time in ms for which a relay collects messages: 50 datagrams a second to each follower at most. First events are due
 * in some hundreds of ms.
 */
const COLLECT_MS = 20;

type Parcel = {readonly address: string; readonly as: ContactRole; readonly texts: string[]; bytes: number};

export class Outbox {
	static create(socket: Socket, port: number, self: Member, logger: Logger): Outbox {
		return new Outbox(socket, port, self, logger);
	}

	readonly #parcels = new Map<string, Parcel>();
	#timer: NodeJS.Timeout | undefined;
	#isClosed = false;

	private constructor(
		private readonly socket: Socket,
		private readonly port: number,
		private readonly self: Member,
		private readonly logger: Logger,
	) {}

	/** Sends `text`, a message in JSON, to `address` with others that are collected meanwhile. */
	post(address: string, as: ContactRole, text: string): void {
		const key = `${as} ${address}`;
		let parcel = this.#parcels.get(key);
		if (parcel && parcel.bytes + text.length > DATAGRAM_BYTES) {
			this.#send(parcel);
			parcel = undefined;
		}

		if (!parcel) {
			parcel = {
				address, as, texts: [], bytes: 0,
			};
			this.#parcels.set(key, parcel);
		}

		parcel.texts.push(text);
		parcel.bytes += text.length;
		this.#timer ??= setTimeout(() => {
			this.flush();
		}, COLLECT_MS);
	}

	/** Sends what was collected. */
	flush(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		for (const parcel of this.#parcels.values()) {
			this.#send(parcel);
		}

		this.#parcels.clear();
	}

	close(): void {
		this.flush();
		this.#isClosed = true;
	}

	#send({address, as, texts}: Parcel): void {
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
