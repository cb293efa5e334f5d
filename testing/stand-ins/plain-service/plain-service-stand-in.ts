/**
 * Stand-in of a plain service. Protocol: `src/backend/plain-service-protocol.ts`; every path but the control routes
 * executes. Control: `/faults`, `/counts`.
 */
import type {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {z} from 'zod';
import {NOT_RUN_HEADER} from '../../../src/backend/plain-service-protocol.js';
import {monotonicMs} from '../../../src/util/clock.js';
import {ColdStart} from '../cold-start.js';
import {History} from '../history.js';
import {portSetting} from '../run-stand-in.js';
import {
	closeConnection, controlRoutes, delay, readBytes, sendJson, StandInServer, type Exchange, type Route,
} from '../stand-in-server.js';

export const plainServiceSettingsSchema = z.object({
	port: portSetting,
	executeMs: z.coerce.number().min(0).default(5).describe('time of one execution in ms'),
	coldRequests: z.coerce.number().int().positive().default(2).describe('requests borne at once while cold'),
	warmAfterMs: z.coerce.number().min(0).default(2000).describe('time from the first request until warm, in ms'),
	startsWarm: z.boolean().default(false).describe('first boot is warm at once'),
	checkIdentity: z.boolean().default(false).describe('refuses to execute an operation id twice'),
	loadLagMs: z.coerce.number().min(0).default(300).describe('age of the load report in ms'),
});

const faultsSchema = z.strictObject({
	/** Done once when set: `crash` resets all connections and reboots cold, `turn-cold` becomes cold without notice, `silence` leaves open requests unanswered. */
	act: z.enum(['crash', 'turn-cold', 'silence']).optional(),
	/** Executes and then closes the connection without an answer. */
	loseResponses: z.boolean().default(false),
	/** Executes, but never answers. */
	silent: z.boolean().default(false),
	/** Added to each execution. */
	slowMs: z.number().min(0).default(0),
	/** Status with which every request is refused before it executes, marked as not run. */
	refuseStatus: z.number().int().min(400).max(599).optional(),
});

type Settings = z.infer<typeof plainServiceSettingsSchema>;
type Faults = z.infer<typeof faultsSchema>;
type Execution = {readonly boot: string; readonly period: number; silent: boolean};

export class PlainServiceStandIn {
	static async create(input: z.input<typeof plainServiceSettingsSchema> = {}): Promise<PlainServiceStandIn> {
		const standIn = new PlainServiceStandIn(plainServiceSettingsSchema.parse(input));
		standIn.#server = await StandInServer.create(standIn.#settings.port, standIn.#routes());
		return standIn;
	}

	readonly #settings: Settings;
	readonly #cold: ColdStart;
	readonly #open = new Set<Execution>();
	readonly #operations = new Map<string, number>();
	readonly #paths = new Map<string, number>();
	readonly #responses = new Map<string, unknown>();
	readonly #load: History<{readonly boot: string; readonly warm: boolean; readonly runningRequests: number}>;
	readonly #counts = {
		executions: 0, refusedRepeats: 0, crashes: 0, overloadCrashes: 0, maxColdRequests: 0, lostResponses: 0,
	};

	#faults: Faults = faultsSchema.parse({});
	#server!: StandInServer;

	private constructor(settings: Settings) {
		this.#settings = settings;
		this.#cold = ColdStart.create(settings);
		this.#load = History.create(settings.loadLagMs, now => ({...this.#temperature(now), runningRequests: this.#open.size}));
	}

	get address(): string {
		return this.#server.address;
	}

	/** Counts since the start; `operations` are executions by operation id, `paths` by method and path. */
	counts(): Readonly<Record<string, unknown>> {
		return {...this.#counts, operations: Object.fromEntries(this.#operations), paths: Object.fromEntries(this.#paths)};
	}

	/** Replaces the standing faults and does `act` once. `exchange` keeps its connection in a crash. */
	setFaults(input: z.input<typeof faultsSchema>, exchange?: Exchange): void {
		const {act, ...standing} = faultsSchema.parse(input);
		this.#faults = standing;
		switch (act) {
			case 'crash': {
				this.#crash(exchange);
				break;
			}

			case 'turn-cold': {
				this.#cold.turnCold();
				break;
			}

			case 'silence': {
				this.#silence();
				break;
			}

			case undefined:
		}
	}

	async close(): Promise<void> {
		this.#load.close();
		await this.#server.close();
	}

	#temperature(now: number): {readonly boot: string; readonly warm: boolean} {
		return {boot: this.#cold.boot, warm: this.#cold.isWarm(now)};
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
					sendJson(res, 200, this.#temperature(monotonicMs()));
				},
			},
			{
				method: 'GET', pattern: /^\/load$/v, handle: ({res}) => {
					sendJson(res, 200, this.#load.read(monotonicMs()));
				},
			},
			{method: '*', pattern: /^\//v, handle: async exchange => this.#serve(exchange)},
		];
	}

	#silence(): void {
		for (const execution of this.#open) {
			execution.silent = true;
		}
	}

	#crash(exchange?: Exchange): void {
		this.#counts.crashes++;
		this.#open.clear();
		this.#cold.reboot();
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

	/** Accepts a request, or crashes when it is more than a cold service bears. */
	#accept(now: number): Execution | undefined {
		const execution = {boot: this.#cold.boot, period: this.#cold.period, silent: this.#faults.silent};
		this.#open.add(execution);
		if (!this.#cold.isWarm(now)) {
			const inFlight = [...this.#open].filter(other => other.period === this.#cold.period).length;
			this.#counts.maxColdRequests = Math.max(this.#counts.maxColdRequests, inFlight);
			if (inFlight > this.#settings.coldRequests) {
				this.#counts.overloadCrashes++;
				this.#crash();
				return undefined;
			}
		}

		this.#cold.serve(now);
		return execution;
	}

	async #execute(exchange: Exchange, execution: Execution, body: Buffer): Promise<void> {
		const {req, res, url} = exchange;
		const operation = req.headers['x-operation-id'] === undefined ? undefined : String(req.headers['x-operation-id']);
		const stored = operation !== undefined && this.#settings.checkIdentity ? this.#responses.get(operation) : undefined;
		if (stored !== undefined) {
			this.#counts.refusedRepeats++;
			this.#open.delete(execution);
			sendJson(res, 409, stored, this.#headers());
			return;
		}

		const response = {
			path: url.pathname, operation, execution: this.#record(`${req.method} ${url.pathname}`, operation), bytes: body.length,
		};
		if (operation !== undefined) {
			this.#responses.set(operation, response);
		}

		await delay(this.#settings.executeMs + this.#faults.slowMs);
		if (execution.boot === this.#cold.boot) {
			this.#answer(res, execution, response);
		}
	}

	/** Counts an execution; returns its number among those of the same operation. */
	#record(path: string, operation: string | undefined): number {
		this.#counts.executions++;
		this.#paths.set(path, (this.#paths.get(path) ?? 0) + 1);
		if (operation === undefined) {
			return 1;
		}

		const count = (this.#operations.get(operation) ?? 0) + 1;
		this.#operations.set(operation, count);
		return count;
	}

	#answer(res: ServerResponse, execution: Execution, response: unknown): void {
		if (execution.silent) {
			res.on('close', () => this.#open.delete(execution));
			return;
		}

		this.#open.delete(execution);
		if (this.#faults.loseResponses) {
			this.#counts.lostResponses++;
			closeConnection(res);
			return;
		}

		sendJson(res, 200, response, this.#headers());
	}

	#headers(): Readonly<Record<string, string>> {
		const {boot, warm} = this.#temperature(monotonicMs());
		return {'x-backend-boot': boot, 'x-backend-warm': String(warm)};
	}
}
