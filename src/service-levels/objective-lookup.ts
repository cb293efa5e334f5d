/** Objectives in force, looked up for each ended request. */
import type {ConfigurationSource} from '../configuration/configuration-source.js';
import type {Objective} from '../configuration/schema.js';
import type {ObjectiveLookup} from './service-levels.js';

/** Returns a lookup that follows `source`. Its index is rebuilt only when the version changes. */
export function createObjectiveLookup(source: ConfigurationSource): ObjectiveLookup {
	let indexed = {version: -1, objectives: new Map<string, Objective>()};
	return (service, lengthClass) => {
		const current = source.current();
		if (current && current.version !== indexed.version) {
			const {version, configuration} = current;
			indexed = {version, objectives: new Map(configuration.objectives.map(objective => [`${objective.service}/${objective.lengthClass}`, objective]))};
		}

		return indexed.objectives.get(`${service}/${lengthClass}`);
	};
}
