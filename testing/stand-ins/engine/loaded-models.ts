/** Models and adapters that a simulated engine has loaded. Loading takes time and reads the weight store. */
import {request} from 'undici';
import type {EngineOrder} from '../../../src/backend/engine-protocol.js';
import {delay} from '../stand-in-server.js';

const MAX_FETCH_ATTEMPTS = 100;
const DEFAULT_RETRY_AFTER_S = 1;

export type ModelSetOptions = {
	/** Comma-separated list of `name` or `name@version`. */
	readonly models: string;
	readonly loadMs: number;
	readonly weightStore?: string | undefined;
};

export class LoadedModels {
	static create(options: ModelSetOptions): LoadedModels {
		return new LoadedModels(options);
	}

	readonly #options: ModelSetOptions;
	readonly #versions: Map<string, string>;
	/** Version being loaded, by name. */
	readonly #loading = new Map<string, string>();
	#role: 'mixed' | 'prefill' | 'decode' = 'mixed';

	private constructor(options: ModelSetOptions) {
		this.#options = options;
		const pairs = options.models.split(',').filter(Boolean).map(text => text.split('@'));
		this.#versions = new Map(pairs.map(([name, version]) => [name!, version ?? '1']));
	}

	get role(): 'mixed' | 'prefill' | 'decode' {
		return this.#role;
	}

	/** Loaded version by name. */
	get versions(): Readonly<Record<string, string>> {
		return Object.fromEntries(this.#versions);
	}

	has(model: string): boolean {
		return this.#versions.has(model);
	}

	/** Applies an order. Loading continues in the background. */
	apply(order: EngineOrder): void {
		switch (order.kind) {
			case 'load-model': {
				void this.#load(order.model, order.version);
				break;
			}

			case 'load-adapter': {
				void this.#load(order.adapter, order.version);
				break;
			}

			case 'unload-model': {
				this.#loading.delete(order.model);
				this.#versions.delete(order.model);
				break;
			}

			case 'set-role': {
				this.#role = order.role;
				break;
			}
		}
	}

	async #load(name: string, version: string): Promise<void> {
		if (this.#loading.get(name) === version || this.#versions.get(name) === version) {
			return;
		}

		this.#loading.set(name, version);
		const isFetched = await this.#fetch(name, version);
		await delay(this.#options.loadMs);
		// A newer order may have replaced this one in the meantime.
		if (this.#loading.get(name) !== version) {
			return;
		}

		this.#loading.delete(name);
		if (isFetched) {
			this.#versions.set(name, version);
		}
	}

	async #fetch(name: string, version: string): Promise<boolean> {
		const {weightStore} = this.#options;
		if (weightStore === undefined) {
			return true;
		}

		const url = new URL(`/weights/${encodeURIComponent(name)}/${encodeURIComponent(version)}`, weightStore);
		for (let attempt = 0; attempt < MAX_FETCH_ATTEMPTS && this.#loading.get(name) === version; attempt++) {
			const retryAfterS = await this.#fetchOnce(url);
			if (retryAfterS === undefined) {
				return true;
			}

			await delay(retryAfterS * 1000);
		}

		return false;
	}

	/** Fetches once; returns undefined on success, or the time in seconds until the next attempt. */
	async #fetchOnce(url: URL): Promise<number | undefined> {
		try {
			const {statusCode, headers, body} = await request(url);
			await body.dump();
			return statusCode === 200 ? undefined : Number(headers['retry-after'] ?? DEFAULT_RETRY_AFTER_S);
		} catch {
			return DEFAULT_RETRY_AFTER_S;
		}
	}
}
