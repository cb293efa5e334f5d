/** Computes and applies the deltas between two configuration versions that daemons send each other. */
import {isDeepStrictEqual} from 'node:util';
import type {ConfigurationPollAnswer} from '../peer/protocol.js';
import {configurationSchema, type Configuration} from './schema.js';

/** The changes in a delta answer, without its version fields. */
export type ConfigurationDelta = Pick<Extract<ConfigurationPollAnswer, {kind: 'delta'}>, 'set' | 'removed'>;

type Section = keyof Configuration;
type Entry = {readonly name: string; readonly value: unknown};

const sections = Object.keys(configurationSchema.unwrap().shape) as readonly Section[];

/** Returns the name of an entry of an array section. Validation guarantees that it is unique in its section. */
function entryName(section: Section, value: unknown): string {
	if (section === 'objectives') {
		const {service, lengthClass} = value as Configuration['objectives'][number];
		return `${service}/${lengthClass}`;
	}

	return (value as {readonly name: string}).name;
}

/** Returns the entries of a section. A section that is not an array is one entry with an empty name. */
function entriesOf(configuration: Configuration, section: Section): readonly Entry[] {
	const content: unknown = configuration[section];
	return Array.isArray(content)
		? content.map((value: unknown) => ({name: entryName(section, value), value}))
		: [{name: '', value: content}];
}

/**
 * Returns the changes that turn `from` into `to`, or undefined when a delta cannot express them because entries that
 * exist in both changed their order.
 */
export function diffConfigurations(from: Configuration, to: Configuration): ConfigurationDelta | undefined {
	const delta = {
		set: sections.flatMap(section => changedEntries(from, to, section)),
		removed: sections.flatMap(section => removedEntries(from, to, section)),
	};
	return isDeepStrictEqual(applyDelta(from, delta), to) ? delta : undefined;
}

function changedEntries(from: Configuration, to: Configuration, section: Section): ConfigurationDelta['set'] {
	const before = new Map(entriesOf(from, section).map(({name, value}) => [name, value]));
	const changes: Array<ConfigurationDelta['set'][number]> = [];
	for (const [index, {name, value}] of entriesOf(to, section).entries()) {
		if (!before.has(name)) {
			changes.push({
				section, name, value, at: index,
			});
		} else if (!isDeepStrictEqual(before.get(name), value)) {
			changes.push({section, name, value});
		}
	}

	return changes;
}

function removedEntries(from: Configuration, to: Configuration, section: Section): ConfigurationDelta['removed'] {
	const kept = new Set(entriesOf(to, section).map(({name}) => name));
	return entriesOf(from, section).filter(({name}) => !kept.has(name)).map(({name}) => ({section, name}));
}

/** Applies a delta to `from`. The result is not validated: a delta received from another daemon may be wrong. */
export function applyDelta(from: Configuration, delta: ConfigurationDelta): unknown {
	return Object.fromEntries(sections.map(section => [section, applySection(from, delta, section)]));
}

function applySection(from: Configuration, delta: ConfigurationDelta, section: Section): unknown {
	const set = delta.set.filter(change => change.section === section);
	const replaced = new Map(set.map(change => [change.name, change]));
	if (!Array.isArray(from[section])) {
		return replaced.has('') ? replaced.get('')!.value : from[section];
	}

	const removed = new Set(delta.removed.filter(change => change.section === section).map(change => change.name));
	const values = entriesOf(from, section)
		.filter(({name}) => !removed.has(name))
		.map(({name, value}) => replaced.get(name)?.value ?? value);
	// Inserting in ascending order of final index is correct because all earlier entries are already in place.
	for (const change of set.filter(({at}) => at !== undefined).toSorted((a, b) => a.at! - b.at!)) {
		values.splice(change.at!, 0, change.value);
	}

	return values;
}
