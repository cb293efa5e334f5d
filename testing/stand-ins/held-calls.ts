/** Calls that a stand-in never answers, as if packets were lost. Their connections close when the faults change. */
import type {ServerResponse} from 'node:http';
import {z} from 'zod';
import {closeConnection, type Exchange} from './stand-in-server.js';

/** Callers that are cut off: an `x-caller` value, or the part of it before `-<number>`, which is the failure domain. */
export const cutCallersSchema = z.array(z.string().min(1)).default([]);

export const callerOf = ({req}: Exchange): string => String(req.headers['x-caller'] ?? '');

/** Whether a caller is cut: by its name, or as a daemon `<failure domain>-<number>` of a failure domain that is cut. */
export const isCut = (cutCallers: readonly string[], caller: string): boolean => cutCallers.includes(caller)
	|| cutCallers.includes(caller.replace(/-\d+$/v, ''));

export class HeldCalls {
	static create(): HeldCalls {
		return new HeldCalls();
	}

	readonly #held = new Set<ServerResponse>();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Leaves a call without an answer. */
	hold({res}: Exchange): void {
		this.#held.add(res);
		res.on('close', () => this.#held.delete(res));
	}

	/** Closes the connections of all held calls. */
	release(): void {
		for (const res of this.#held) {
			closeConnection(res);
		}

		this.#held.clear();
	}
}
