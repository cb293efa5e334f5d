/**
 * Stand-in for a plain service. Protocol: `src/backend/plain-service-protocol.ts`; control routes: `/faults`, `/counts`.
 * A request to any path other than the control routes, `/health` and `/load` is an execution.
 */
import type {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {z} from 'zod';
import {NOT_RUN_HEADER} from '../../../src/backend/plain-service-protocol.js';
import {monotonicMs} from '../../../src/util/clock.js';
import {ColdStart} from '../cold-start.js';
import {LaggedValue} from '../lagged-value.js';
import {portSetting} from '../run-stand-in.js';
import {
	closeConnection, controlRoutes, delay, readBytes, sendJson, StandInServer, type Exchange, type Route,
} from '../stand-in-server.js';

export const plainServiceSettingsSchema = z.object({
	port: portSetting,
	executeMs: z.coerce.number().min(0).default(5).describe('duration of one execution in ms'),
	coldRequests: z.coerce.number().int().positive().default(2).describe('concurrent requests above which a cold service crashes'),
	warmAfterMs: z.coerce.number().min(0).default(2000).describe('time from the first request until the service is warm, in ms'),
	startsWarm: z.boolean().default(false).describe('the first boot is warm from the start'),
	checkIdentity: z.boolean().default(false).describe('executes an operation id only once and refuses repeats'),
	loadLagMs: z.coerce.number().min(0).default(300).describe('age of the load report in ms'),
});

const faultsSchema = z.strictObject({
	/**
	 * Performed once when set: `crash` resets all connections and reboots cold; `turn-cold` becomes cold without
	 * notice; `silence` leaves open requests unanswered.
	 */
	act: z.enum(['crash', 'turn-cold', 'silence']).optional(),
	/** Executes requests and then closes the connection without a response. */
	loseResponses: z.boolean().default(false),
	/** Executes requests, but never responds. */
	silent: z.boolean().default(false),
	/** Delay in ms added to each execution. */
	slowMs: z.number().min(0).default(0),
	/** Status with which every request is refused before its execution and marked as not run. */
	refuseStatus: z.number().int().min(400).max(599).optional(),
});

type Settings = z.infer<typeof plainServiceSettingsSchema>;
type Faults = z.infer<typeof faultsSchema>;
type Execution = {readonly boot: string; readonly coldPeriod: number; isSilent: boolean};

export class PlainServiceStandIn {
	static async create(input: z.input<typeof plainServiceSettingsSchema> = {}): Promise<PlainServiceStandIn> {
		const standIn = new PlainServiceStandIn(plainServiceSettingsSchema.parse(input));
		standIn.#server = await StandInServer.create(standIn.#settings.port, standIn.#routes());
		return standIn;
	}

	readonly #settings: Settings;
	readonly #coldStart: ColdStart;
	readonly #openExecutions = new Set<Execution>();
	readonly #executionsByOperation = new Map<string, number>();
	readonly #executionsByPath = new Map<string, number>();
	readonly #responsesByOperation = new Map<string, unknown>();
	readonly #loadReport: LaggedValue<{readonly boot: string; readonly warm: boolean; readonly runningRequests: number}>;
	readonly #counts = {
		executions: 0, refusedRepeats: 0, crashes: 0, overloadCrashes: 0, maxColdRequests: 0, lostResponses: 0,
	};

	#faults: Faults = faultsSchema.parse({});
	#server!: StandInServer;

	private constructor(settings: Settings) {
		this.#settings = settings;
		this.#coldStart = ColdStart.create(settings);
		this.#loadReport = LaggedValue.create(settings.loadLagMs, now => ({...this.#health(now), runningRequests: this.#openExecutions.size}));
	}

	get address(): string {
		return this.#server.address;
	}

	/** Counters since the start; `operations` is the number of executions by operation id, `paths` by method and path. */
	counts(): Readonly<Record<string, unknown>> {
		return {...this.#counts, operations: Object.fromEntries(this.#executionsByOperation), paths: Object.fromEntries(this.#executionsByPath)};
	}

	/** Replaces the persistent faults and performs `act` once. The connection of `exchange` survives a crash. */
	setFaults(input: z.input<typeof faultsSchema>, exchange?: Exchange): void {
		const {act, ...standing} = faultsSchema.parse(input);
		this.#faults = standing;
		switch (act) {
			case 'crash': {
				this.#crash(exchange);
				break;
			}

			case 'turn-cold': {
				this.#coldStart.turnCold();
				break;
			}

			case 'silence': {
				this.#silenceOpenExecutions();
				break;
			}

			case undefined:
		}
	}

	async close(): Promise<void> {
		this.#loadReport.close();
		await this.#server.close();
	}

	#health(now: number): {readonly boot: string; readonly warm: boolean} {
		return {boot: this.#coldStart.boot, warm: this.#coldStart.isWarm(now)};
	}

	#routes(): readonly Route[] {
		return [
			...controlRoutes({
				schema: faultsSchema,
				faults: () => this.#faults,
				setFaults: (faults, exchange) => {
					this.setFaults(faults, exchange);
				},
				counts: () => this.counts(),
			}),
			{
				method: 'GET', pattern: /^\/health$/v, handle: ({res}) => {
					sendJson(res, 200, this.#health(monotonicMs()));
				},
			},
			{
				method: 'GET', pattern: /^\/load$/v, handle: ({res}) => {
					sendJson(res, 200, this.#loadReport.read(monotonicMs()));
				},
			},
			{method: '*', pattern: /^\//v, handle: async exchange => this.#serve(exchange)},
		];
	}

	#silenceOpenExecutions(): void {
		for (const execution of this.#openExecutions) {
			execution.isSilent = true;
		}
	}

	#crash(exchange?: Exchange): void {
		this.#counts.crashes++;
		this.#openExecutions.clear();
		this.#coldStart.reboot();
		this.#server.resetConnections(exchange?.req.socket);
	}

	async #serve(exchange: Exchange): Promise<void> {
		const {req, res} = exchange;
		const body = await readBytes(req);
		if (this.#faults.refuseStatus !== undefined) {
			sendJson(res, this.#faults.refuseStatus, {error: 'refused'}, {...this.#headers(), [NOT_RUN_HEADER]: 'true'});
			return;
		}

		const execution = this.#accept(monotonicMs());
		if (!execution) {
			return;
		}

		await this.#execute(exchange, execution, body);
	}

	/** Accepts a request, or crashes when a cold service gets more concurrent requests than `coldRequests`. */
	#accept(now: number): Execution | undefined {
		const execution = {boot: this.#coldStart.boot, coldPeriod: this.#coldStart.coldPeriod, isSilent: this.#faults.silent};
		this.#openExecutions.add(execution);
		if (!this.#coldStart.isWarm(now)) {
			const inFlight = [...this.#openExecutions].filter(other => other.coldPeriod === this.#coldStart.coldPeriod).length;
			this.#counts.maxColdRequests = Math.max(this.#counts.maxColdRequests, inFlight);
			if (inFlight > this.#settings.coldRequests) {
				this.#counts.overloadCrashes++;
				this.#crash();
				return undefined;
			}
		}

		this.#coldStart.recordAccepted(now);
		return execution;
	}

	async #execute(exchange: Exchange, execution: Execution, body: Buffer): Promise<void> {
		const {req, res, url} = exchange;
		const operation = req.headers['x-operation-id'] === undefined ? undefined : String(req.headers['x-operation-id']);
		const stored = operation !== undefined && this.#settings.checkIdentity ? this.#responsesByOperation.get(operation) : undefined;
		if (stored !== undefined) {
			this.#counts.refusedRepeats++;
			this.#openExecutions.delete(execution);
			sendJson(res, 409, stored, this.#headers());
			return;
		}

		const response = {
			path: url.pathname, operation, execution: this.#countExecution(`${req.method} ${url.pathname}`, operation), bytes: body.length,
		};
		if (operation !== undefined) {
			this.#responsesByOperation.set(operation, response);
		}

		await delay(this.#settings.executeMs + this.#faults.slowMs);
		if (execution.boot === this.#coldStart.boot) {
			this.#answer(res, execution, response);
		}
	}

	/** Counts an execution and returns its number among the executions of the same operation. */
	#countExecution(path: string, operation: string | undefined): number {
		this.#counts.executions++;
		this.#executionsByPath.set(path, (this.#executionsByPath.get(path) ?? 0) + 1);
		if (operation === undefined) {
			return 1;
		}

		const count = (this.#executionsByOperation.get(operation) ?? 0) + 1;
		this.#executionsByOperation.set(operation, count);
		return count;
	}

	#answer(res: ServerResponse, execution: Execution, response: unknown): void {
		if (execution.isSilent) {
			res.on('close', () => this.#openExecutions.delete(execution));
			return;
		}

		this.#openExecutions.delete(execution);
		if (this.#faults.loseResponses) {
			this.#counts.lostResponses++;
			closeConnection(res);
			return;
		}

		sendJson(res, 200, response, this.#headers());
	}

	#headers(): Readonly<Record<string, string>> {
		const {boot, warm} = this.#health(monotonicMs());
		return {'x-backend-boot': boot, 'x-backend-warm': String(warm)};
	}
}
