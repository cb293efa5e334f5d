/** Changes the state of a failure domain with a read, a modification and a conditional write. */
import type {ObjectApi} from '../object-api/object-api.js';
import {pause} from '../util/pause.js';
import {createWriteCondition, type ApplyOptions} from './apply-configuration.js';
import {checkConfiguration} from './check-configuration.js';
import type {Finding} from './finding.js';
import {CONFIGURATION_KEY, type Configuration, type FailureDomain} from './schema.js';

export type DomainChange = {
	readonly name: string;
	readonly state: FailureDomain['state'];
	/** Allows taking out the last failure domain of a service. */
	readonly isForced: boolean;
};

/**
 * - `changed`: active as `version`
 * - `already`: the failure domain was already in the requested state
 * - `unserved`: refused because `services` would have no failure domain in state `in`
 * - `unknown_domain`: refused because the name does not exist; `known` lists the existing names
 * - `invalid`: the stored configuration is not valid
 * - `failed`: the change could not be written; with `isUncertain` it may still have taken effect
 */
export type DomainOutcome =
	| {readonly kind: 'changed'; readonly version: number}
	| {readonly kind: 'already'; readonly version: number}
	| {readonly kind: 'unserved'; readonly services: readonly string[]}
	| {readonly kind: 'unknown_domain'; readonly known: readonly string[]}
	| {readonly kind: 'invalid'; readonly findings: readonly Finding[]}
	| {readonly kind: 'failed'; readonly message: string; readonly isUncertain: boolean};

/** Maximum read-modify-write attempts, counting conflicts, rejected writes and lost responses. */
const MAX_ATTEMPTS = 10;

/** Applies the change to the latest stored version, so that concurrent changes by others are preserved. */
export async function changeDomain(api: ObjectApi, change: DomainChange, options: ApplyOptions): Promise<DomainOutcome> {
	let isUncertain = false;
	let message = 'cancelled';
	for (let attempt = 0; attempt < MAX_ATTEMPTS && !options.signal.aborted; attempt++) {
		const read = await api.read(CONFIGURATION_KEY, options);
		if (read.kind === 'found') {
			const {version, value} = read.object;
			const plan = planChange(value, change);
			if (plan.kind === 'already') {
				return {kind: isUncertain ? 'changed' : 'already', version};
			}

			if (plan.kind !== 'write') {
				return plan;
			}

			const outcome = await api.write(CONFIGURATION_KEY, plan.configuration, createWriteCondition(version), options);
			if (outcome.kind === 'written') {
				return {kind: 'changed', version: outcome.version};
			}

			isUncertain ||= outcome.kind === 'unknown';
			message = outcome.kind === 'conflict' ? `version ${outcome.version} was written concurrently` : outcome.message;
		} else {
			message = read.kind === 'absent' ? 'no configuration is stored' : read.message;
		}

		await pause(options.backoff.nextMs(), options.signal);
	}

	return {kind: 'failed', message, isUncertain};
}

type ChangePlan =
	| {readonly kind: 'write'; readonly configuration: Configuration}
	| {readonly kind: 'already'}
	| Extract<DomainOutcome, {kind: 'unserved' | 'unknown_domain' | 'invalid'}>;

function planChange(value: unknown, change: DomainChange): ChangePlan {
	const checked = checkConfiguration(value, {allowUnserved: true});
	if (checked.kind === 'refused') {
		return {kind: 'invalid', findings: checked.findings};
	}

	const {configuration} = checked;
	const domain = configuration.failureDomains.find(({name}) => name === change.name);
	if (!domain) {
		return {kind: 'unknown_domain', known: configuration.failureDomains.map(({name}) => name)};
	}

	if (domain.state === change.state) {
		return {kind: 'already'};
	}

	const services = change.state === 'out' ? findServicesOnlyIn(configuration, change.name) : [];
	return services.length > 0 && !change.isForced
		? {kind: 'unserved', services}
		: {kind: 'write', configuration: withState(configuration, change)};
}

/** Returns the names of the services whose only failure domain in state `in` is `name`. */
function findServicesOnlyIn({failureDomains, services}: Configuration, name: string): readonly string[] {
	const otherDomainsIn = new Set(failureDomains.filter(domain => domain.state === 'in' && domain.name !== name).map(domain => domain.name));
	return services
		.filter(service => service.failureDomains.includes(name) && !service.failureDomains.some(other => otherDomainsIn.has(other)))
		.map(service => service.name);
}

const withState = (configuration: Configuration, {name, state}: DomainChange): Configuration => ({
	...configuration,
	failureDomains: configuration.failureDomains.map(domain => domain.name === name ? {...domain, state} : domain),
});
