/** Error for an invalid declaration, which refers to the items that the operator declared. */
import type {Finding} from '../configuration/finding.js';
import type {Configuration} from '../configuration/schema.js';

/** An invalid field of a declared item. `item` is for example `branch mills`; `field` is the path within the item. */
export type DeclarationFault = {
	readonly item: string;
	readonly field: string;
	readonly value: unknown;
	readonly rule: string;
};

/** Thrown by {@link deployment} with all faults of the declaration. */
export class DeclarationError extends Error {
	override readonly name = 'DeclarationError';

	constructor(deployment: string, readonly faults: readonly DeclarationFault[]) {
		super(`the declaration of deployment ${deployment} is invalid; correct these fields:\n${faults.map(fault => formatFault(fault)).join('\n')}`);
	}
}

/** Formats one fault as a line with item, field, rule and value. */
export function formatFault({item, field, value, rule}: DeclarationFault): string {
	return `- ${item}, ${field === '' ? '(whole item)' : field}: ${rule} (value: ${JSON.stringify(value) ?? 'absent'})`;
}

/** Sections whose entries the operator declares as named items, and the word that messages use for one entry. */
const ITEM_WORDS = {
	failureDomains: 'failure domain', services: 'service', priorities: 'priority', objectives: 'objective of', workspaces: 'branch',
} as const;

/** Converts a finding in the built configuration to a fault of the declared item. */
export function toFault(finding: Finding, configuration: Configuration): DeclarationFault {
	const {value, rule} = finding;
	const match = /^(?<section>\w+)\[(?<index>\d+)\]\.?(?<field>.*)$/v.exec(finding.path)?.groups;
	if (!match || !isItemSection(match.section!)) {
		return {
			item: 'deployment', field: finding.path, value, rule,
		};
	}

	return {
		item: `${ITEM_WORDS[match.section]} ${itemNameOf(configuration, match.section, Number(match.index))}`, field: match.field!, value, rule,
	};
}

const isItemSection = (section: string): section is keyof typeof ITEM_WORDS => Object.hasOwn(ITEM_WORDS, section);

function itemNameOf(configuration: Configuration, section: keyof typeof ITEM_WORDS, index: number): string {
	if (section === 'objectives') {
		const objective = configuration.objectives[index]!;
		return `${objective.service} for ${objective.lengthClass} prompts`;
	}

	return configuration[section][index]!.name;
}
