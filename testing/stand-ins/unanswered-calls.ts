/** Calls that a stand-in leaves unanswered, as if packets were lost. Their connections are closed when the faults change. */
import type {ServerResponse} from 'node:http';
import {z} from 'zod';
import {closeConnection, type Exchange} from './stand-in-server.js';

/** Callers that are cut off, by `x-caller` value or by failure domain, which is the part of that value before `-<number>`. */
export const cutCallersSchema = z.array(z.string().min(1)).default([]);

export const callerOf = ({req}: Exchange): string => String(req.headers['x-caller'] ?? '');

/** Whether a caller is cut off, by its name or as a daemon `<failure domain>-<number>` of a failure domain that is cut off. */
export const isCutOff = (cutCallers: readonly string[], caller: string): boolean => cutCallers.includes(caller)
	|| cutCallers.includes(caller.replace(/-\d+$/v, ''));

export class UnansweredCalls {
	static create(): UnansweredCalls {
		return new UnansweredCalls();
	}

	readonly #responses = new Set<ServerResponse>();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Leaves a call unanswered. */
	add({res}: Exchange): void {
		this.#responses.add(res);
		res.on('close', () => this.#responses.delete(res));
	}

	/** Closes the connections of all unanswered calls. */
	closeAll(): void {
		for (const res of this.#responses) {
			closeConnection(res);
		}

		this.#responses.clear();
	}
}
