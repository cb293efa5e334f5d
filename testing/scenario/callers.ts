/** Callers of a scenario: send its loads through the balancer and record the outcomes. */
import {exampleKeys as frialiaKeys} from '../../examples/frialia.js';
import {exampleKeys as sacariaKeys} from '../../examples/sacaria.js';
import {DEFAULT_TOTAL_MS} from '../../src/admission/request-deadline.js';
import type {Configuration, ModelService, PlainService} from '../../src/configuration/schema.js';
import type {ObservedCompletion, ObservedPlainCall, PlainEnd} from '../invariants.js';
import {drawArrivals, type Arrival, type MixPart} from '../load/arrivals.js';
import {CompletionClient} from '../load/completion-client.js';
import {buildPrompt} from '../load/load-run.js';
import {delay} from '../stand-ins/stand-in-server.js';
import {PROMPT_HEAD_CHARACTERS} from '../stand-ins/engine/counts.js';
import type {DaemonRoster} from './daemon-roster.js';
import {createBooking, PlainCaller, type Booking} from './plain-caller.js';
import type {Scenario} from './parse-scenario.js';
import type {Load, Statement} from './statement.js';
import type {Timeline} from './timeline.js';

const ANSWER_TOKENS = 20;
const MAX_REPEATS = 4;
const REPEAT_PAUSE_MS = 700;

const lengthsOf = {
	short: {fromTokens: 1000, toTokens: 7900},
	medium: {fromTokens: 8100, toTokens: 31_000},
	long: {fromTokens: 33_000, toTokens: 99_000},
	huge: {fromTokens: 101_000, toTokens: 1_000_000},
} as const;

type LoadStatement = Extract<Statement, {readonly kind: 'load'}>;
type Account = {readonly workspace: string; readonly apiKey: string};

/** Number of workspaces that send requests. Their limits are far above the load of a scenario. */
const ACCOUNTS = 2;

/** Returns the workspaces with the highest limits that may use a service, with their API keys from the examples. */
function accountsOf({workspaces}: Configuration, service: string): readonly Account[] {
	const keys: Readonly<Record<string, string>> = {...sacariaKeys, ...frialiaKeys};
	const allowed = workspaces.filter(({services}) => services.includes(service));
	const generous = allowed.toSorted((a, b) => b.limits.requestsPerSecond - a.limits.requestsPerSecond).slice(0, ACCOUNTS);
	return generous.map(({name}) => ({workspace: name, apiKey: keys[name]!}));
}

export type CallerOptions = {
	readonly scenario: Scenario;
	readonly roster: DaemonRoster;
	readonly timeline: Timeline;
	readonly seed: number;
	/** Aborts calls that are still open. */
	readonly signal: AbortSignal;
};

export class Callers {
	static create(options: CallerOptions): Callers {
		return new Callers(options);
	}

	readonly #options: CallerOptions;
	readonly #model: ModelService;
	readonly #plain: PlainService;
	readonly #modelAccounts: readonly Account[];
	readonly #plainAccounts: readonly Account[];
	readonly #completionClient = CompletionClient.create();
	readonly #plainCaller = PlainCaller.create();
	readonly #completions: ObservedCompletion[] = [];
	readonly #plainCalls: ObservedPlainCall[] = [];

	private constructor(options: CallerOptions) {
		this.#options = options;
		const {configuration} = options.scenario;
		this.#model = configuration.services.find(service => service.kind === 'model')!;
		this.#plain = configuration.services.find(service => service.kind === 'plain')!;
		this.#modelAccounts = accountsOf(configuration, this.#model.name);
		this.#plainAccounts = accountsOf(configuration, this.#plain.name);
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
		await Promise.all([this.#completionClient.close(), this.#plainCaller.close()]);
	}

	async #runLoad(statement: LoadStatement, index: number): Promise<void> {
		const {timeline} = this.#options;
		const arrivals = this.#arrivalsOf(statement, index);
		await Promise.all(arrivals.map(async arrival => {
			await timeline.until(statement.fromMs + arrival.atMs);
			await this.#send(statement.load, arrival, index);
		}));
	}

	#arrivalsOf({load, fromMs, toMs}: LoadStatement, index: number): readonly Arrival[] {
		const {scenario, seed} = this.#options;
		const lengths = lengthsOf[load.kind === 'prompts' ? load.lengthClass : 'short'];
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
				return this.#book(arrival.index, load.repeat);
			}

			case 'lookups': {
				return this.#lookUp(arrival.index);
			}
		}
	}

	async #sendPrompt({index, promptTokens, maxTokens, lengthClass}: Arrival, loadIndex: number): Promise<void> {
		const {roster, scenario, seed, signal, timeline} = this.#options;
		const daemon = roster.next();
		const prompt = buildPrompt(`seed ${seed} load ${loadIndex}`, index, promptTokens);
		const startedAt = timeline.now();
		const record = await this.#completionClient.send({
			target: daemon.process.url,
			apiKey: this.#modelAccounts[index % this.#modelAccounts.length]!.apiKey,
			model: this.#model.models[0]!.name,
			prompt,
			promptTokens,
			lengthClass,
			maxTokens,
			signal,
		});
		const objective = scenario.configuration.objectives.find(({service, lengthClass: of}) => service === this.#model.name && of === lengthClass);
		this.#completions.push({
			record: {...record, startedAt},
			prompt,
			promptHead: prompt.slice(0, PROMPT_HEAD_CHARACTERS),
			maxTokens,
			lengthClass,
			deadlineMs: objective?.totalMs ?? DEFAULT_TOTAL_MS,
			disturbed: roster.isDisturbed(daemon.id, startedAt, timeline.now()),
		});
	}

	/** Sends one booking. With `repeat`, repeats it through other daemons until a repeat is answered: it has run then and was repeated at least once. */
	async #book(index: number, repeat: boolean): Promise<void> {
		const account = this.#plainAccounts[index % this.#plainAccounts.length]!;
		const booking = createBooking(account.workspace, this.#plain.name, index, Date.now());
		let last: string | undefined;
		for (let time = 0; time <= MAX_REPEATS; time++) {
			const {daemon, end} = await this.#callPlain(account, booking, last);
			last = daemon;
			if (!repeat || (time > 0 && end.kind === 'answered')) {
				return;
			}

			await delay(end.kind === 'answered' ? 0 : REPEAT_PAUSE_MS);
		}
	}

	async #lookUp(index: number): Promise<void> {
		await this.#callPlain(this.#plainAccounts[index % this.#plainAccounts.length]!, undefined, undefined);
	}

	async #callPlain({apiKey}: Account, booking: Booking | undefined, except: string | undefined): Promise<{readonly daemon: string; readonly end: PlainEnd}> {
		const {roster, timeline, signal} = this.#options;
		const daemon = roster.next(except);
		const route = this.#plain.routes.find(({idempotent}) => idempotent !== (booking !== undefined))!;
		const startedAt = timeline.now();
		const end = await this.#plainCaller.send({
			daemon,
			method: booking ? 'POST' : 'GET',
			path: `/services/${this.#plain.name}${route.pathPrefix}`,
			apiKey,
			booking,
		}, signal);
		const endedAt = timeline.now();
		this.#plainCalls.push({
			operation: booking?.operation,
			daemon: daemon.id,
			startedAt,
			totalMs: endedAt - startedAt,
			deadlineMs: route.timeoutMs,
			end,
			disturbed: roster.isDisturbed(daemon.id, startedAt, endedAt),
		});
		return {daemon: daemon.id, end};
	}
}
