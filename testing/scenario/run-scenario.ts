/** Runs a scenario on a new deployment and checks its expectations and the invariants. */
import {setMaxListeners} from 'node:events';
import type {LogLevel} from '../../src/util/logger.js';
import {Deployment} from '../deployment.js';
import {checkInvariants, type Observations, type Violation} from '../invariants.js';
import {countOutcomes} from '../load/summary.js';
import {Callers} from './callers.js';
import {checkExpectation, type CheckResult} from './check-expectation.js';
import {SimulatedBalancer} from './simulated-balancer.js';
import {ActiveFaults} from './active-faults.js';
import {Observer, type WorkSnapshot} from './observer.js';
import type {Scenario} from './parse-scenario.js';
import {performFault, type FaultContext} from './perform-fault.js';
import type {Expectation, ParsedStatement} from './statement.js';
import {RunClock} from './run-clock.js';

/** Time after the end of a scenario in which open calls may complete. */
const CALL_COMPLETION_TIMEOUT_MS = 60_000;

/** Longer than the 200 ms for which the balancer of a scenario keeps sending to a stopping daemon. */
const DRAIN_LAG_MS = 600;

export type ScenarioOptions = {
	readonly seed: number;
	/** Least severe level that the daemons log. */
	readonly logLevel?: LogLevel;
	/** Receives one line for each event. */
	readonly log?: (line: string) => void;
};

/** Result of a scenario. It passed if every expectation is met and no invariant is violated. */
export type ScenarioReport = {
	readonly passed: boolean;
	readonly expectations: ReadonlyArray<CheckResult & {readonly text: string; readonly line: number}>;
	readonly violations: readonly Violation[];
	/** Counts of outcomes, for display. */
	readonly summary: string;
	/** Last log lines of each daemon, by id. */
	readonly logs: Readonly<Record<string, readonly string[]>>;
};

/** Runs a scenario. Rejects when the deployment does not start or a fault cannot be performed. */
export async function runScenario(scenario: Scenario, options: ScenarioOptions): Promise<ScenarioReport> {
	const {configuration, deployment: {daemons, engines}, speed, startsWarm} = scenario;
	const backendsPerDomain = Object.fromEntries(configuration.services.map(({name, kind}) => [name, kind === 'model' ? engines : 1]));
	const deployment = await Deployment.create({
		configuration, backendsPerDomain, daemonsPerDomain: daemons, seed: options.seed, speed, startsWarm, drainLagMs: DRAIN_LAG_MS, daemonArgs: ['--log-level', options.logLevel ?? 'info'],
	});
	try {
		return await new ScenarioRun(scenario, options, deployment).execute();
	} finally {
		await deployment.close();
	}
}

type TimedExpectation = Extract<Expectation, {readonly afterMs: number}>;
type ParsedExpectation = Scenario['expectations'][number];

class ScenarioRun {
	readonly #clock = RunClock.start();
	readonly #pollingAbort = new AbortController();
	readonly #faultContext: FaultContext;
	readonly #observer: Observer;
	readonly #callers: Callers;
	/** Requests received before the time that an expectation states, by expectation. */
	readonly #workBefore = new Map<ParsedExpectation, WorkSnapshot>();

	constructor(private readonly scenario: Scenario, private readonly options: ScenarioOptions, private readonly deployment: Deployment) {
		const balancer = SimulatedBalancer.create(deployment);
		this.#faultContext = {
			deployment, balancer, activeFaults: ActiveFaults.create(deployment), clock: this.#clock, configuration: scenario.configuration,
		};
		const signal = AbortSignal.timeout(scenario.durationMs + CALL_COMPLETION_TIMEOUT_MS);
		// Every open call adds a listener to the signal.
		setMaxListeners(0, signal);
		this.#observer = Observer.create(deployment, scenario);
		this.#callers = Callers.create({
			scenario, balancer, clock: this.#clock, seed: options.seed, signal,
		});
	}

	async execute(): Promise<ScenarioReport> {
		const polling = this.#observer.pollConfigurationVersions(this.#pollingAbort.signal);
		await Promise.all([this.#callers.run(), this.#performFaults(), this.#takeSnapshots(), this.#clock.waitUntil(this.scenario.durationMs)]);
		const observed = await this.#observe();
		const expectations = await Promise.all(this.scenario.expectations.map(async expected => this.#check(expected, observed)));
		this.#pollingAbort.abort();
		await polling;
		await this.#callers.close();
		return this.#report(observed, expectations);
	}

	async #performFaults(): Promise<void> {
		await Promise.all(this.scenario.faults.map(async ({atMs, fault}) => {
			await this.#clock.waitUntil(atMs);
			this.#log(`fault ${JSON.stringify(fault)}`);
			await performFault(fault, this.#faultContext);
			this.#log(`fault ended: ${fault.kind}`);
		}));
	}

	async #takeSnapshots(): Promise<void> {
		await Promise.all(this.scenario.expectations.map(async expected => {
			const timed = timedExpectationOf(expected);
			if (timed) {
				await this.#clock.waitUntil(timed.afterMs);
				this.#workBefore.set(expected, await this.#observer.readWork(domainOf(timed)));
			}
		}));
	}

	async #observe(): Promise<Observations> {
		const engines = await this.#observer.waitForIdleEngines();
		this.#log('engine counters read');
		return {
			completions: this.#callers.completions,
			plainCalls: this.#callers.plainCalls,
			engines,
			services: await this.#observer.services(),
			configurationVersions: this.#observer.configurationVersions,
		};
	}

	async #check(expected: ParsedExpectation, observed: Observations): Promise<ScenarioReport['expectations'][number]> {
		const timed = timedExpectationOf(expected);
		const workSinceSnapshot = timed ? await this.#workSince(expected, domainOf(timed)) : {};
		return {
			text: expected.text, line: expected.place.line, ...checkExpectation(expected.statement.expectation, {observed, workSinceSnapshot}),
		};
	}

	async #workSince(expected: ParsedExpectation, domain: string): Promise<WorkSnapshot> {
		const before = this.#workBefore.get(expected) ?? {};
		const now = await this.#observer.readWork(domain);
		return Object.fromEntries(Object.entries(now).map(([id, count]) => [id, count - (before[id] ?? 0)]));
	}

	#report(observed: Observations, expectations: ScenarioReport['expectations']): ScenarioReport {
		const violations = checkInvariants(observed);
		const plainEnds: Record<string, number> = {};
		for (const {outcome} of observed.plainCalls) {
			const label = outcome.kind === 'refused' ? `refused ${outcome.code} ${outcome.ran}` : outcome.kind;
			plainEnds[label] = (plainEnds[label] ?? 0) + 1;
		}

		return {
			passed: violations.length === 0 && expectations.every(({ok}) => ok),
			expectations,
			violations,
			summary: `prompts ${JSON.stringify(countOutcomes(observed.completions.map(({record}) => record)))}, plain calls ${JSON.stringify(plainEnds)}`,
			logs: Object.fromEntries(this.deployment.daemons.map(({id, process}) => [id, process.log])),
		};
	}

	#log(line: string): void {
		this.options.log?.(`${Math.round(this.#clock.now())} ms: ${line}`);
	}
}

function timedExpectationOf({statement}: Pick<ParsedStatement<ParsedExpectation['statement']>, 'statement'>): TimedExpectation | undefined {
	return 'afterMs' in statement.expectation ? statement.expectation : undefined;
}

const domainOf = (expectation: TimedExpectation): string => expectation.kind === 'no-work-to-domain' ? expectation.domain : expectation.engine.domain;
