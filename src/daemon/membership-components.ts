/** Creates the membership components: the registration of this daemon and the directory of its region. */
import {MemberRegistration, type MemberIdentity} from '../membership/member-registration.js';
import {RegionDirectory, type RegionDirectoryOptions} from '../membership/region-directory.js';
import type {Member} from '../membership/directory.js';

/**
 * Registration of this daemon and directory of the region. The registration starts later than the directory is created,
 * because its addresses are known only once both servers listen.
 */
export class MembershipComponents {
	static create(identity: MemberIdentity, options: Omit<RegionDirectoryOptions, 'self'>): MembershipComponents {
		return new MembershipComponents(identity, options);
	}

	readonly directory: RegionDirectory;
	#identity: MemberIdentity;
	#registry: MemberRegistration | undefined;

	private constructor(identity: MemberIdentity, private readonly options: Omit<RegionDirectoryOptions, 'self'>) {
		this.#identity = identity;
		this.directory = RegionDirectory.create({...options, self: () => this.#self()});
	}

	/** Sets the address for other daemons. Must be called before anything is sent to them. */
	setPeerAddress(peerAddress: string): void {
		this.#identity = {...this.#identity, peerAddress};
	}

	/**
	 * Registers this daemon with its address for clients and starts to watch the members of the region. Resolves after the
	 * first attempt of each, successful or not.
	 */
	async start(address: string): Promise<void> {
		this.#identity = {...this.#identity, address};
		this.#registry = MemberRegistration.create({identity: this.#identity, objects: this.options.objects, logger: this.options.logger});
		await this.#registry.start();
		await this.directory.start();
	}

	/** Publishes in the registration that this daemon is draining. */
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
