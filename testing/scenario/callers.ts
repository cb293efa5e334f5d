/** Callers of a scenario: send its loads through the balancer and record the outcomes. */
import {exampleKeys as frialiaKeys} from '../../examples/frialia.js';
import {exampleKeys as sacariaKeys} from '../../examples/sacaria.js';
import {DEFAULT_TOTAL_MS} from '../../src/admission/request-deadline.js';
import type {Configuration, ModelService, PlainService} from '../../src/configuration/schema.js';
import type {ObservedCompletion, ObservedPlainCall, PlainCallOutcome} from '../invariants.js';
import {drawArrivals, type Arrival, type MixPart} from '../load/arrivals.js';
import {CompletionClient} from '../load/completion-client.js';
import {buildPrompt} from '../load/load-run.js';
import {delay} from '../stand-ins/stand-in-server.js';
import {PROMPT_HEAD_CHARACTERS} from '../stand-ins/engine/counts.js';
import type {SimulatedBalancer} from './simulated-balancer.js';
import {createBooking, PlainClient, type Booking} from './plain-client.js';
import type {Scenario} from './parse-scenario.js';
import type {Load, Statement} from './statement.js';
import type {RunClock} from './run-clock.js';

const ANSWER_TOKENS = 20;
const MAX_REPEATS = 4;
const REPEAT_PAUSE_MS = 700;

const promptLengthsByClass = {
	short: {fromTokens: 1000, toTokens: 7900},
	medium: {fromTokens: 8100, toTokens: 31_000},
	long: {fromTokens: 33_000, toTokens: 99_000},
	huge: {fromTokens: 101_000, toTokens: 1_000_000},
} as const;

type LoadStatement = Extract<Statement, {readonly kind: 'load'}>;
type WorkspaceCredentials = {readonly workspace: string; readonly apiKey: string};

/** Number of workspaces that send requests. Their limits are far above the load of a scenario. */
const CALLING_WORKSPACES = 2;

/** Returns the workspaces with the highest limits that may use a service, with their API keys from the examples. */
function credentialsFor({workspaces}: Configuration, service: string): readonly WorkspaceCredentials[] {
	const keys: Readonly<Record<string, string>> = {...sacariaKeys, ...frialiaKeys};
	const allowed = workspaces.filter(({services}) => services.includes(service));
	const highestLimits = allowed.toSorted((a, b) => b.limits.requestsPerSecond - a.limits.requestsPerSecond).slice(0, CALLING_WORKSPACES);
	return highestLimits.map(({name}) => ({workspace: name, apiKey: keys[name]!}));
}

export type CallerOptions = {
	readonly scenario: Scenario;
	readonly balancer: SimulatedBalancer;
	readonly clock: RunClock;
	readonly seed: number;
	/** Aborts calls that are still open. */
	readonly signal: AbortSignal;
};

export class Callers {
	static create(options: CallerOptions): Callers {
		return new Callers(options);
	}

	readonly #options: CallerOptions;
	readonly #modelService: ModelService;
	readonly #plainService: PlainService;
	readonly #modelCredentials: readonly WorkspaceCredentials[];
	readonly #plainCredentials: readonly WorkspaceCredentials[];
	readonly #completionClient = CompletionClient.create();
	readonly #plainClient = PlainClient.create();
	readonly #completions: ObservedCompletion[] = [];
	readonly #plainCalls: ObservedPlainCall[] = [];

	private constructor(options: CallerOptions) {
		this.#options = options;
		const {configuration} = options.scenario;
		this.#modelService = configuration.services.find(service => service.kind === 'model')!;
		this.#plainService = configuration.services.find(service => service.kind === 'plain')!;
		this.#modelCredentials = credentialsFor(configuration, this.#modelService.name);
		this.#plainCredentials = credentialsFor(configuration, this.#plainService.name);
	}

	get completions(): readonly ObservedCompletion[] {
		return this.#completions;
	}

	get plainCalls(): readonly ObservedPlainCall[] {
		return this.#plainCalls;
	}

	/** Sends all loads; resolves when every call has ended. */
	async run(): Promise<void> {
		const {loads} = this.#options.scenario;
		await Promise.all(loads.map(async (load, index) => this.#runLoad(load, index)));
	}

	async close(): Promise<void> {
		await Promise.all([this.#completionClient.close(), this.#plainClient.close()]);
	}

	async #runLoad(statement: LoadStatement, index: number): Promise<void> {
		const {clock} = this.#options;
		const arrivals = this.#arrivalsOf(statement, index);
		await Promise.all(arrivals.map(async arrival => {
			await clock.waitUntil(statement.fromMs + arrival.atMs);
			await this.#send(statement.load, arrival, index);
		}));
	}

	#arrivalsOf({load, fromMs, toMs}: LoadStatement, index: number): readonly Arrival[] {
		const {scenario, seed} = this.#options;
		const lengths = promptLengthsByClass[load.kind === 'prompts' ? load.lengthClass : 'short'];
		const mix: readonly MixPart[] = [{share: 1, ...lengths}];
		return drawArrivals({
			seed: seed + index, durationMs: (toMs ?? scenario.durationMs) - fromMs, requestsPerSecond: load.perSecond, mix, maxTokens: ANSWER_TOKENS,
		});
	}

	async #send(load: Load, arrival: Arrival, loadIndex: number): Promise<void> {
		switch (load.kind) {
			case 'prompts': {
				return this.#sendPrompt(arrival, loadIndex);
			}

			case 'bookings': {
				return this.#sendBooking(arrival.index, load.repeat);
			}

			case 'lookups': {
				return this.#sendLookup(arrival.index);
			}
		}
	}

	async #sendPrompt({index, promptTokens, maxTokens, lengthClass}: Arrival, loadIndex: number): Promise<void> {
		const {balancer, scenario, seed, signal, clock} = this.#options;
		const daemon = balancer.next();
		const prompt = buildPrompt(`seed ${seed} load ${loadIndex}`, index, promptTokens);
		const startedAt = clock.now();
		const record = await this.#completionClient.send({
			target: daemon.process.url,
			apiKey: this.#modelCredentials[index % this.#modelCredentials.length]!.apiKey,
			model: this.#modelService.models[0]!.name,
			prompt,
			promptTokens,
			lengthClass,
			maxTokens,
			signal,
		});
		const objective = scenario.configuration.objectives.find(({service, lengthClass: objectiveClass}) => service === this.#modelService.name && objectiveClass === lengthClass);
		this.#completions.push({
			record: {...record, startedAt},
			prompt,
			promptHead: prompt.slice(0, PROMPT_HEAD_CHARACTERS),
			maxTokens,
			lengthClass,
			deadlineMs: objective?.totalMs ?? DEFAULT_TOTAL_MS,
			daemonUnavailable: balancer.hadOutage(daemon.id, startedAt, clock.now()),
		});
	}

	/** Sends one booking. With `repeat`, repeats it through other daemons until a repeat is answered: it has run then and was repeated at least once. */
	async #sendBooking(index: number, repeat: boolean): Promise<void> {
		const credentials = this.#plainCredentials[index % this.#plainCredentials.length]!;
		const booking = createBooking(credentials.workspace, this.#plainService.name, index, Date.now());
		let previousDaemon: string | undefined;
		for (let attempt = 0; attempt <= MAX_REPEATS; attempt++) {
			const {daemon, outcome} = await this.#callPlain(credentials, booking, previousDaemon);
			previousDaemon = daemon;
			if (!repeat || (attempt > 0 && outcome.kind === 'answered')) {
				return;
			}

			await delay(outcome.kind === 'answered' ? 0 : REPEAT_PAUSE_MS);
		}
	}

	async #sendLookup(index: number): Promise<void> {
		await this.#callPlain(this.#plainCredentials[index % this.#plainCredentials.length]!, undefined, undefined);
	}

	async #callPlain({apiKey}: WorkspaceCredentials, booking: Booking | undefined, except: string | undefined): Promise<{readonly daemon: string; readonly outcome: PlainCallOutcome}> {
		const {balancer, clock, signal} = this.#options;
		const daemon = balancer.next(except);
		const route = this.#plainService.routes.find(({idempotent}) => idempotent !== (booking !== undefined))!;
		const startedAt = clock.now();
		const outcome = await this.#plainClient.send({
			daemon,
			method: booking ? 'POST' : 'GET',
			path: `/services/${this.#plainService.name}${route.pathPrefix}`,
			apiKey,
			booking,
		}, signal);
		const endedAt = clock.now();
		this.#plainCalls.push({
			operation: booking?.operation,
			daemon: daemon.id,
			startedAt,
			totalMs: endedAt - startedAt,
			deadlineMs: route.timeoutMs,
			outcome,
			daemonUnavailable: balancer.hadOutage(daemon.id, startedAt, endedAt),
		});
		return {daemon: daemon.id, outcome};
	}
}
