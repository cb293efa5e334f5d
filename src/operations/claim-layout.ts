/**
 * Maps claims to the objects that store them. The first daemon that needs the number of partitions and the retention records
 * them in the object `claims/layout`; later changes of the configured values have no effect. If the values could change, a
 * claim could be looked up in another object, or after its deletion, and its operation could run twice.
 */
import {z} from 'zod';
import type {ObjectApi} from '../object-api/object-api.js';
import type {Configuration} from '../configuration/schema.js';
import {pause} from '../util/pause.js';

const LAYOUT_KEY = 'claims/layout';
const CALL_TIMEOUT_MS = 1000;
const RETRY_PAUSE_MS = 100;

/** Width in ms of a time bucket. Keys whose timestamps are in the same bucket share claim objects. */
export const CLAIM_BUCKET_MS = 10_000;

const layoutSchema = z.object({
	retentionMs: z.number().int().positive(),
	partitions: z.number().int().positive(),
	/** Unix time in ms at which the layout was recorded. */
	createdAtMs: z.number().int(),
}).readonly();

export type ClaimLayout = z.infer<typeof layoutSchema>;

/** Start (Unix time in ms) of the time bucket of a key. */
export const claimBucket = (keyTimeMs: number): number => Math.floor(keyTimeMs / CLAIM_BUCKET_MS) * CLAIM_BUCKET_MS;

/** Key of the object that stores the claim of an operation. */
export function claimObjectKey(operation: string, keyTimeMs: number, layout: ClaimLayout): string {
	const partition = Number.parseInt(operation.slice(0, 8), 16) % layout.partitions;
	return `claims/${claimBucket(keyTimeMs)}/${partition}`;
}

/** Reads the layout, or records it if it does not exist, and caches it. */
export class ClaimLayoutStore {
	static create(objectApi: ObjectApi, configured: () => Configuration['claims'] | undefined): ClaimLayoutStore {
		return new ClaimLayoutStore(objectApi, configured);
	}

	readonly #objectApi: ObjectApi;
	readonly #configured: () => Configuration['claims'] | undefined;
	#layout: ClaimLayout | undefined;

	private constructor(objectApi: ObjectApi, configured: () => Configuration['claims'] | undefined) {
		this.#objectApi = objectApi;
		this.#configured = configured;
	}

	/** Returns the layout. Records the configured one if none is stored. Returns undefined when neither succeeds within `timeoutMs`. */
	async get(timeoutMs: number, wallNow: number): Promise<ClaimLayout | undefined> {
		const timeout = AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs)));
		while (this.#layout === undefined && !timeout.aborted) {
			this.#layout = await this.#readOrRecord(wallNow, timeout);
			if (this.#layout === undefined) {
				await pause(RETRY_PAUSE_MS, timeout);
			}
		}

		return this.#layout;
	}

	async #readOrRecord(wallNow: number, signal: AbortSignal): Promise<ClaimLayout | undefined> {
		const options = {timeoutMs: CALL_TIMEOUT_MS, signal};
		const outcome = await this.#objectApi.read(LAYOUT_KEY, options);
		if (outcome.kind === 'found') {
			return layoutSchema.safeParse(outcome.object.value).data;
		}

		const configured = this.#configured();
		if (outcome.kind === 'absent' && configured) {
			const layout = {...configured, createdAtMs: wallNow};
			const written = await this.#objectApi.write(LAYOUT_KEY, layout, {kind: 'absent'}, options);
			return written.kind === 'written' ? layout : undefined;
		}

		return undefined;
	}
}
