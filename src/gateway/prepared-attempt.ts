/** Attempts whose placement is open and whose memory is reserved before anything is sent. */
import type {AttemptResult} from './attempt-result.js';
import type {AttemptRecords} from './attempt-records.js';
import type {FlowParts} from './flow-parts.js';
import {MemoryReservation} from './memory-reservation.js';
import type {ServerChoice} from './server-choice.js';

/** An attempt at a server, whose placement is open and whose memory is reserved, or through another host. */
export type PreparedAttempt =
	| {
		readonly kind: 'server';
		readonly choice: ServerChoice;
		readonly memory: MemoryReservation | undefined;
		readonly placedAt: number;
	}
	| {readonly kind: 'host'; readonly address: string};

export type ServerAttempt = Extract<PreparedAttempt, {kind: 'server'}>;

export type Preparation =
	| {readonly kind: 'prepared'; readonly attempt: ServerAttempt}
	| {readonly kind: 'refused'; readonly result: AttemptResult};

export class AttemptPreparation {
	static create(parts: FlowParts, request: string, records: AttemptRecords): AttemptPreparation {
		return new AttemptPreparation(parts, request, records);
	}

	/** `request` is its id in logs and in reservations. */
	private constructor(private readonly parts: FlowParts, private readonly request: string, private readonly records: AttemptRecords) {}

	/** Opens the placement of an attempt and reserves memory on its helpers. */
	async prepare(choice: ServerChoice, placedAt: number): Promise<Preparation> {
		const {parts: {memoryOrders, clock, logger}, records} = this;
		records.openPlacement(choice, placedAt);
		if (choice.reserved.length === 0) {
			return prepared({choice, memory: undefined, placedAt});
		}

		const acquired = await MemoryReservation.acquire({orders: memoryOrders, clock, logger}, this.request, choice.reserved);
		if (acquired.kind === 'reserved') {
			return prepared({choice, memory: acquired.reservation, placedAt});
		}

		records.closePlacement(choice, false);
		return {
			kind: 'refused',
			result: {
				outcome: {kind: 'rejected', reason: acquired.reason}, mayHaveRun: false, isUnsent: true, faultyAddress: acquired.server.address,
			},
		};
	}

	/** `isAnswered`: the answer shows that the server has run the request. */
	close(attempt: PreparedAttempt, isAnswered: boolean): void {
		if (attempt.kind === 'server') {
			this.records.closePlacement(attempt.choice, isAnswered);
			void attempt.memory?.release();
		}
	}
}

const prepared = (attempt: Omit<ServerAttempt, 'kind'>): Preparation => ({kind: 'prepared', attempt: {kind: 'server', ...attempt}});
