/** Entries that differ between two versions of the configuration, as daemons send them to each other. */
import {isDeepStrictEqual} from 'node:util';
import type {ConfigurationPollAnswer} from '../peer/protocol.js';
import {configurationSchema, type Configuration} from './schema.js';

/** The changes of a delta answer, without the versions. */
export type ConfigurationDelta = Pick<Extract<ConfigurationPollAnswer, {kind: 'delta'}>, 'set' | 'removed'>;

type Section = keyof Configuration;
type Entry = {readonly name: string; readonly value: unknown};

const sections = Object.keys(configurationSchema.unwrap().shape) as readonly Section[];

/** Name of an entry inside an array section: unique there by the configuration check. */
function entryName(section: Section, value: unknown): string {
	if (section === 'objectives') {
		const {service, lengthClass} = value as Configuration['objectives'][number];
		return `${service}/${lengthClass}`;
	}

	return (value as {readonly name: string}).name;
}

/** Entries of a section. A section that is no array is one entry with an empty name. */
function entriesOf(configuration: Configuration, section: Section): readonly Entry[] {
	const content: unknown = configuration[section];
	return Array.isArray(content)
		? content.map((value: unknown) => ({name: entryName(section, value), value}))
		: [{name: '', value: content}];
}

/**
 * Returns the changes that make `to` out of `from`, or undefined where a delta cannot express them because kept entries
 * changed their order.
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

/** Applies changes to `from`. The result is not checked: a delta that came from another daemon may be wrong. */
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
	// Ascending final positions put each new entry at its place, since all entries before it are already there.
	for (const change of set.filter(({at}) => at !== undefined).toSorted((a, b) => a.at! - b.at!)) {
		values.splice(change.at!, 0, change.value);
	}

	return values;
}
