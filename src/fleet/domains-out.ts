/**
 * Failure domains that operators have taken out of service.
 *
 * A store that has come back from an older copy may lack one, until the operator writes it again. It stays out of service
 * meanwhile: using it too early sends requests to servers that are about to stop, leaving it out a little longer costs capacity only.
 */

/** Time in ms for which a domain that the copy lacks stays out of service. Operators write again within about a second. */
const REWRITE_MS = 5000;

export class DomainsOut {
	static create(): DomainsOut {
		return new DomainsOut();
	}

	/** Times until which domains are out of service; undefined while the store says so. */
	readonly #ends = new Map<string, number | undefined>();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	add(domain: string): void {
		this.#ends.set(domain, undefined);
	}

	remove(domain: string): void {
		this.#ends.delete(domain);
	}

	/** Applies a complete list. `isRestored`: it comes from a store that has come back from an older copy. */
	replace(domains: readonly string[], isRestored: boolean, now: number): void {
		const listed = new Set(domains);
		for (const [domain, end] of this.#ends) {
			if (listed.has(domain)) {
				continue;
			}

			if (isRestored) {
				this.#ends.set(domain, end ?? now + REWRITE_MS);
			} else if (end === undefined) {
				this.#ends.delete(domain);
			}
		}

		for (const domain of listed) {
			this.add(domain);
		}
	}

	has(domain: string, now: number): boolean {
		return this.#ends.has(domain) && now < (this.#ends.get(domain) ?? Infinity);
	}

	/** Domains that are out of service at `now`. */
	list(now: number): readonly string[] {
		return [...this.#ends.keys()].filter(domain => this.has(domain, now));
	}
}
