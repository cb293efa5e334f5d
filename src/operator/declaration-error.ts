/** Refusal of a declaration, in terms of what the operator declared. */
import type {Finding} from '../configuration/finding.js';
import type {Configuration} from '../configuration/schema.js';

/** A fault of one declared item. `item` is for example `branch mills`; `field` is the path inside it. */
export type DeclarationFault = {
	readonly item: string;
	readonly field: string;
	readonly value: unknown;
	readonly rule: string;
};

/** Thrown by {@link deployment} with every fault found. */
export class DeclarationError extends Error {
	override readonly name = 'DeclarationError';

	constructor(deployment: string, readonly faults: readonly DeclarationFault[]) {
		super(`deployment ${deployment} was not accepted; correct these fields:\n${faults.map(fault => formatFault(fault)).join('\n')}`);
	}
}

/** Formats one fault: item, field, rule and value. */
export function formatFault({item, field, value, rule}: DeclarationFault): string {
	return `- ${item}, ${field === '' ? 'whole' : field}: ${rule} (value: ${JSON.stringify(value) ?? 'absent'})`;
}

/** Sections whose entries the operator declares by name, with the word for one entry. */
const ITEM_WORDS = {
	failureDomains: 'failure domain', services: 'service', priorities: 'priority', objectives: 'objective of', workspaces: 'branch',
} as const;

/** Turns a finding on the built configuration into a fault of the declared item. */
export function toFault(finding: Finding, built: Configuration): DeclarationFault {
	const {value, rule} = finding;
	const match = /^(?<section>\w+)\[(?<index>\d+)\]\.?(?<field>.*)$/v.exec(finding.path)?.groups;
	if (!match || !isItemSection(match.section!)) {
		return {
			item: 'deployment', field: finding.path, value, rule,
		};
	}

	return {
		item: `${ITEM_WORDS[match.section]} ${nameOf(built, match.section, Number(match.index))}`, field: match.field!, value, rule,
	};
}

const isItemSection = (section: string): section is keyof typeof ITEM_WORDS => Object.hasOwn(ITEM_WORDS, section);

function nameOf(built: Configuration, section: keyof typeof ITEM_WORDS, index: number): string {
	if (section === 'objectives') {
		const objective = built.objectives[index]!;
		return `${objective.service} for ${objective.lengthClass} prompts`;
	}

	return built[section][index]!.name;
}
