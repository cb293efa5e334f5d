/** Creates the components for calls to plain services and for the claims of non-idempotent operations. */
import {UndiciPlainServiceClient} from '../backend/plain-service-client.js';
import type {ConfigurationSource} from '../configuration/configuration-source.js';
import type {Directory} from '../membership/directory.js';
import {ClaimLayoutStore} from '../operations/claim-layout.js';
import {ClaimRelay} from '../operations/claim-relay.js';
import {ClaimSweeper} from '../operations/claim-sweeper.js';
import {OperationClaims, type ClaimPeer} from '../operations/operation-claims.js';
import {OperationExecutor} from '../operations/operation-executor.js';
import type {PlainReservations} from '../operations/plain-call.js';
import {PlainRouter} from '../operations/plain-router.js';
import type {ObjectApi} from '../object-api/object-api.js';
import type {Clock} from '../util/clock.js';
import type {Logger} from '../util/logger.js';

/** Maximum wait at shutdown until the results of ended operations are recorded. */
const SETTLE_TIMEOUT_MS = 5000;

export type OperationDependencies = {
	readonly objectApi: ObjectApi;
	readonly configuration: ConfigurationSource;
	readonly directory: Directory;
	readonly peer: (address: string) => ClaimPeer;
	readonly clock: Clock;
	readonly logger: Logger;
};

/** The components that execute operations. */
export class OperationComponents {
	static create(dependencies: OperationDependencies): OperationComponents {
		return new OperationComponents(dependencies);
	}

	readonly relay: ClaimRelay;
	readonly #layout: ClaimLayoutStore;
	readonly #claims: OperationClaims;
	readonly #client = UndiciPlainServiceClient.create();
	#retention: ClaimSweeper | undefined;

	private constructor(private readonly dependencies: OperationDependencies) {
		const {objectApi, configuration, directory, peer, clock, logger} = dependencies;
		this.#layout = ClaimLayoutStore.create(objectApi, () => configuration.current()?.configuration.claims);
		this.relay = ClaimRelay.create({objectApi, layout: this.#layout, clock});
		this.#claims = OperationClaims.create({
			directory,
			peer,
			relay: this.relay,
			layout: this.#layout,
			clock,
			onAbandoned(settle, reason) {
				logger.error('settlement_abandoned', {operation: settle.operation, attempt: settle.attempt, message: reason});
			},
		});
	}

	/** Creates the router that executes calls to plain services. */
	createRouter(reservations: PlainReservations): PlainRouter {
		const {directory, clock} = this.dependencies;
		const sender = {reservations, client: this.#client, clock};
		const executor = OperationExecutor.create({...sender, directory, claims: this.#claims});
		return PlainRouter.create({...sender, executor});
	}

	/** Starts deleting claims whose retention time has passed; the daemons share this work. */
	start(): void {
		const {objectApi, directory, clock} = this.dependencies;
		this.#retention = ClaimSweeper.create({
			objectApi, layout: this.#layout, directory, clock,
		});
	}

	/** Records the results of ended operations, then closes the components. */
	async close(): Promise<void> {
		await this.#claims.drain(SETTLE_TIMEOUT_MS);
		this.#claims.close();
		await this.#retention?.close();
		this.relay.close();
		await this.#client.close();
	}
}
