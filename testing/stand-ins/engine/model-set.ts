/** Models and adapters that a simulated engine has loaded; loading takes time and reads the weight store. */
import {request} from 'undici';
import type {EngineOrder} from '../../../src/backend/engine-protocol.js';
import {delay} from '../stand-in-server.js';

const MAX_ATTEMPTS = 100;
const RETRY_AFTER_DEFAULT_S = 1;

export type ModelSetOptions = {
	/** `name` or `name@version`, separated by commas. */
	readonly models: string;
	readonly loadMs: number;
	readonly weightStore?: string | undefined;
};

export class ModelSet {
	static create(options: ModelSetOptions): ModelSet {
		return new ModelSet(options);
	}

	readonly #options: ModelSetOptions;
	readonly #versions: Map<string, string>;
	/** Version being loaded by name. */
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

	/** Loaded versions by name. */
	get versions(): Readonly<Record<string, string>> {
		return Object.fromEntries(this.#versions);
	}

	has(model: string): boolean {
		return this.#versions.has(model);
	}

	/** Starts to bring about the state that an order asks for; loading goes on in the background. */
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
		// Another order may have replaced this one meanwhile.
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
		for (let attempt = 0; attempt < MAX_ATTEMPTS && this.#loading.get(name) === version; attempt++) {
			const retryAfterS = await this.#attempt(url);
			if (retryAfterS === undefined) {
				return true;
			}

			await delay(retryAfterS * 1000);
		}

		return false;
	}

	/** Fetches once; returns undefined on success, else the time to wait in seconds. */
	async #attempt(url: URL): Promise<number | undefined> {
		try {
			const {statusCode, headers, body} = await request(url);
			await body.dump();
			return statusCode === 200 ? undefined : Number(headers['retry-after'] ?? RETRY_AFTER_DEFAULT_S);
		} catch {
			return RETRY_AFTER_DEFAULT_S;
		}
	}
}
