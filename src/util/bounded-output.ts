/**
 * Non-blocking standard output. Lines are queued up to a limit; when the queue is full, further lines are dropped and
 * counted.
 */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import type {LineSink} from './logger.js';
import {pause} from './pause.js';

/** Limit of the queue in lines: several seconds of output of a busy daemon, less than 1 MB. */
const MAX_QUEUED_LINES = 4000;
const STDOUT_FD = 1;
/** Interval in ms over which lines are collected into one write. */
const FLUSH_INTERVAL_MS = 20;
/** Time limit in ms for writing the last lines. A process that is being stopped has 300 ms left at this point. */
const CLOSE_TIMEOUT_MS = 200;

export class BoundedOutput {
	static create(): BoundedOutput {
		return new BoundedOutput();
	}

	#lines: string[] = [];
	#dropped = 0;
	#reportedDropped = 0;
	#isFlushing = false;

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Number of lines dropped so far. */
	get dropped(): number {
		return this.#dropped;
	}

	readonly sink: LineSink = line => {
		if (this.#lines.length >= MAX_QUEUED_LINES) {
			this.#dropped++;
			return;
		}

		this.#lines.push(line);
		if (!this.#isFlushing) {
			this.#isFlushing = true;
			setTimeout(this.#flush, FLUSH_INTERVAL_MS);
		}
	};

	/** Waits until all lines are written, up to {@link CLOSE_TIMEOUT_MS} if the reader is slow. */
	async close(): Promise<void> {
		const endAt = performance.now() + CLOSE_TIMEOUT_MS;
		while (this.#isFlushing && performance.now() < endAt) {
			await pause(FLUSH_INTERVAL_MS);
		}
	}

	readonly #flush = (): void => {
		if (this.#dropped > this.#reportedDropped) {
			this.#lines.push(`event=log_lines_dropped lines=${this.#dropped - this.#reportedDropped}`);
			this.#reportedDropped = this.#dropped;
		}

		if (this.#lines.length === 0) {
			this.#isFlushing = false;
			return;
		}

		const data = Buffer.from(`${this.#lines.join('\n')}\n`);
		this.#lines = [];
		this.#write(data);
	};

	#write(data: Buffer): void {
		write(STDOUT_FD, data, (err, written) => {
			if (err) {
				// The pipe is full or closed. The lines of this write are lost and count as one dropped line.
				this.#dropped++;
				setTimeout(this.#flush, FLUSH_INTERVAL_MS);
			} else if (written < data.length) {
				this.#write(data.subarray(written));
			} else {
				setTimeout(this.#flush, FLUSH_INTERVAL_MS);
			}
		});
	}
}
