/** Identity that a request shares with its repeats: the same host, method, path with query, caller and body. */
import {createHash} from 'node:crypto';

/** Hexadecimal digits of a digest; 128 bits exclude collisions. */
const DIGEST_DIGITS = 32;

export type RequestIdentityFields = {
	/** Host that the client named. Routes may be renamed, and differ between daemons while a configuration spreads. */
	readonly host: string;
	readonly method: string;
	/** Path with query. */
	readonly path: string;
	/** Name of the caller's workspace, never its API key; undefined for anonymous requests. */
	readonly workspace: string | undefined;
	readonly body: Uint8Array;
};

export class RequestIdentity {
	static create(fields: RequestIdentityFields): RequestIdentity {
		return new RequestIdentity(fields);
	}

	#digest: string | undefined;

	private constructor(private readonly fields: RequestIdentityFields) {}

	/** Computed when it is first needed, since bodies may be long. */
	get digest(): string {
		const {
			host, method, path, workspace, body,
		} = this.fields;
		this.#digest ??= createHash('sha256').update(JSON.stringify([host.toLowerCase(), method, path, workspace])).update(body).digest('hex').slice(0, DIGEST_DIGITS);
		return this.#digest;
	}
}
