/** Stand-in for the platform's lagging host list. Protocol: `src/object-api/host-list.ts`; control routes: `/hosts`, `/faults`, `/counts`. */
import {z} from 'zod';
import {hostSchema, type Host, type HostList} from '../../../src/object-api/host-list.js';
import {monotonicMs} from '../../../src/util/clock.js';
import {
	callerOf, cutCallersSchema, UnansweredCalls, isCutOff,
} from '../unanswered-calls.js';
import {portSetting} from '../run-stand-in.js';
import {
	controlRoutes, delay, readJson, sendJson, StandInServer, type Exchange, type Route,
} from '../stand-in-server.js';

export const hostListSettingsSchema = z.object({
	port: portSetting,
	lagMs: z.coerce.number().min(0).default(0).describe('time until a change is visible, in ms'),
});

const faultsSchema = z.strictObject({
	outage: z.enum(['none', 'refuse']).default('none'),
	slowMs: z.number().min(0).default(0),
	/** Callers that never get a response. */
	cutCallers: cutCallersSchema,
	/** Overrides the lag from the settings. */
	lagMs: z.number().min(0).optional(),
});

const replacementSchema = z.object({hosts: z.array(hostSchema)});
const hostPatchSchema = z.strictObject({state: hostSchema.unwrap().shape.state});

type Snapshot = {readonly createdAtMs: number; readonly list: HostList};

export class HostListStandIn {
	static async create(input: z.input<typeof hostListSettingsSchema> = {}): Promise<HostListStandIn> {
		const standIn = new HostListStandIn(hostListSettingsSchema.parse(input));
		standIn.#server = await StandInServer.create(standIn.#settings.port, standIn.#routes());
		return standIn;
	}

	readonly #settings: z.infer<typeof hostListSettingsSchema>;
	#snapshots: readonly Snapshot[] = [{createdAtMs: -Infinity, list: {version: 0, hosts: []}}];
	readonly #unansweredCalls = UnansweredCalls.create();
	#faults = faultsSchema.parse({});
	#reads = 0;
	#server!: StandInServer;

	private constructor(settings: z.infer<typeof hostListSettingsSchema>) {
		this.#settings = settings;
	}

	get address(): string {
		return this.#server.address;
	}

	/** Replaces the list. Readers see the new list after the lag. */
	setHosts(hosts: readonly Host[], now: number): void {
		const version = this.#snapshots.at(-1)!.list.version + 1;
		this.#snapshots = [...this.#snapshots, {createdAtMs: now, list: {version, hosts}}];
	}

	async close(): Promise<void> {
		await this.#server.close();
	}

	#visibleList(now: number): HostList {
		const lagMs = this.#faults.lagMs ?? this.#settings.lagMs;
		const index = this.#snapshots.findLastIndex(snapshot => snapshot.createdAtMs + lagMs <= now);
		return this.#snapshots[Math.max(0, index)]!.list;
	}

	#routes(): readonly Route[] {
		return [
			...controlRoutes({
				schema: faultsSchema,
				faults: () => this.#faults,
				setFaults: faults => {
					this.#faults = faults;
					this.#unansweredCalls.closeAll();
				},
				counts: () => ({reads: this.#reads, version: this.#snapshots.at(-1)!.list.version}),
			}),
			{method: 'GET', pattern: /^\/v1\/hosts$/v, handle: async exchange => this.#read(exchange)},
			{
				method: 'PUT', pattern: /^\/hosts$/v, handle: async ({req, res}) => {
					const {hosts} = await readJson(req, replacementSchema);
					this.#replaceHosts(res, hosts);
				},
			},
			{method: 'PATCH', pattern: /^\/hosts\/(?<id>.+)$/v, handle: async exchange => this.#patch(exchange)},
		];
	}

	async #read(exchange: Exchange): Promise<void> {
		const {req, res} = exchange;
		this.#reads++;
		await delay(this.#faults.slowMs);
		if (isCutOff(this.#faults.cutCallers, callerOf(exchange))) {
			this.#unansweredCalls.add(exchange);
			return;
		}

		if (this.#faults.outage === 'refuse') {
			sendJson(res, 503, {error: 'unavailable'});
			return;
		}

		const list = this.#visibleList(monotonicMs());
		const etag = `"${list.version}"`;
		if (req.headers['if-none-match'] === etag) {
			res.writeHead(304, {etag}).end();
			return;
		}

		sendJson(res, 200, list, {etag});
	}

	async #patch({req, res, groups}: Exchange): Promise<void> {
		const {state} = await readJson(req, hostPatchSchema);
		const {hosts} = this.#snapshots.at(-1)!.list;
		if (!hosts.some(host => host.id === groups.id)) {
			sendJson(res, 404, {error: `host ${groups.id} does not exist`});
			return;
		}

		this.#replaceHosts(res, hosts.map(host => host.id === groups.id ? {...host, state} : host));
	}

	#replaceHosts(res: Exchange['res'], hosts: readonly Host[]): void {
		this.setHosts(hosts, monotonicMs());
		sendJson(res, 200, {version: this.#snapshots.at(-1)!.list.version});
	}
}
