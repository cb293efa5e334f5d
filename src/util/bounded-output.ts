/** Standard output that never blocks: lines wait in a bounded queue and are dropped, and counted, when it is full. */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import type {LineSink} from './logger.js';
import {pause} from './pause.js';

/** Lines that may wait: some seconds of a busy daemon, under a megabyte. */
const MAX_QUEUED_LINES = 4000;
const STANDARD_OUTPUT = 1;
/** Time in ms over which lines are collected into one write. */
const COLLECT_MS = 20;
/** Longest wait for the reader of the last lines; a stopping process has 300 ms left when it ends. */
const CLOSE_TIMEOUT_MS = 200;

export class BoundedOutput {
	static create(): BoundedOutput {
		return new BoundedOutput();
	}

	#lines: string[] = [];
	#dropped = 0;
	#reported = 0;
	#isBusy = false;

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	/** Lines dropped so far. */
	get dropped(): number {
		return this.#dropped;
	}

	readonly sink: LineSink = line => {
		if (this.#lines.length >= MAX_QUEUED_LINES) {
			this.#dropped++;
			return;
		}

		this.#lines.push(line);
		if (!this.#isBusy) {
			this.#isBusy = true;
			setTimeout(this.#flush, COLLECT_MS);
		}
	};

	/** Waits until all lines are written, or for a short time if the reader is slow. */
	async close(): Promise<void> {
		const endAt = performance.now() + CLOSE_TIMEOUT_MS;
		while (this.#isBusy && performance.now() < endAt) {
			await pause(COLLECT_MS);
		}
	}

	readonly #flush = (): void => {
		if (this.#dropped > this.#reported) {
			this.#lines.push(`event=log_lines_dropped lines=${this.#dropped - this.#reported}`);
			this.#reported = this.#dropped;
		}

		if (this.#lines.length === 0) {
			this.#isBusy = false;
			return;
		}

		const data = Buffer.from(`${this.#lines.join('\n')}\n`);
		this.#lines = [];
		this.#write(data);
	};

	#write(data: Buffer): void {
		write(STANDARD_OUTPUT, data, (err, written) => {
			if (err) {
				// Standard output is full or gone; the lines count as dropped.
				this.#dropped++;
				setTimeout(this.#flush, COLLECT_MS);
			} else if (written < data.length) {
				this.#write(data.subarray(written));
			} else {
				setTimeout(this.#flush, COLLECT_MS);
			}
		});
	}
}
