/** This daemon's registration and its view of the region. */
import {MemberRegistry, type MemberIdentity} from '../membership/member-registry.js';
import {RegionDirectory, type RegionDirectoryOptions} from '../membership/region-directory.js';
import type {Member} from '../membership/directory.js';

/** Registration and directory. The registration needs addresses that are known only when both servers listen. */
export class MembershipParts {
	static create(identity: MemberIdentity, options: Omit<RegionDirectoryOptions, 'self'>): MembershipParts {
		return new MembershipParts(identity, options);
	}

	readonly directory: RegionDirectory;
	#identity: MemberIdentity;
	#registry: MemberRegistry | undefined;

	private constructor(identity: MemberIdentity, private readonly options: Omit<RegionDirectoryOptions, 'self'>) {
		this.#identity = identity;
		this.directory = RegionDirectory.create({...options, self: () => this.#self()});
	}

	/** Sets the address for other daemons, before anything is sent to them. */
	setPeerAddress(peerAddress: string): void {
		this.#identity = {...this.#identity, peerAddress};
	}

	/** Registers with the address for callers, and starts to follow the region. Resolves after the first attempts. */
	async start(address: string): Promise<void> {
		this.#identity = {...this.#identity, address};
		this.#registry = MemberRegistry.create({identity: this.#identity, objects: this.options.objects, logger: this.options.logger});
		await this.#registry.start();
		await this.directory.start();
	}

	/** Publishes that this daemon leaves. */
	async announceDrain(): Promise<void> {
		await this.#registry?.setDraining(true);
	}

	async close(): Promise<void> {
		await this.directory.close();
		await this.#registry?.close();
	}

	#self(): Member {
		return this.#registry?.current() ?? {...this.#identity, renewal: 0, draining: false};
	}
}
