/** `domain out NAME` and `domain in NAME`: take a failure domain out of service or return it to service. */
import {changeDomain, type DomainOutcome} from '../configuration/change-domain.js';
import {formatFinding} from '../configuration/finding.js';
import {CommandError, type CommandContext, type Command} from './command.js';
import {createApplyOptions} from './config-apply.js';
import {EXIT, type ExitCode} from './exit-codes.js';

export const domainOut: Command = {
	usage: 'domain out <name>',
	description: 'Take a failure domain out of service: no new work after 5 s, running requests finish',
	flags: [['--force', 'Take it out even if a service has no other failure domain in state "in"']],
	run: async context => changeState(context, 'out'),
};

export const domainIn: Command = {
	usage: 'domain in <name>',
	description: 'Return a failure domain to service',
	flags: [],
	run: async context => changeState(context, 'in'),
};

async function changeState(context: CommandContext, state: 'in' | 'out'): Promise<ExitCode> {
	const [name] = context.args as [string];
	context.output.progress(`taking failure domain ${name} ${state} at ${context.objectApiUrl}`);
	const outcome = await changeDomain(context.objectApi(), {name, state, isForced: context.flags.force === true}, createApplyOptions(context));
	return reportOutcome(context, {name, state}, outcome);
}

function reportOutcome(context: CommandContext, {name, state}: {readonly name: string; readonly state: string}, outcome: DomainOutcome): ExitCode {
	const attempt = `taking failure domain ${name} ${state} at ${context.objectApiUrl}`;
	switch (outcome.kind) {
		case 'changed': {
			context.output.result(outcome, `failure domain ${name} is ${state} from version ${outcome.version}`);
			return EXIT.done;
		}

		case 'already': {
			context.output.result(outcome, `failure domain ${name} is ${state} already, in version ${outcome.version}`);
			return EXIT.done;
		}

		case 'unserved': {
			throw new CommandError(EXIT.refused, `${attempt}: refused, because it is the last failure domain that is in of ${outcome.services.join(', ')}; take another one in first, or add --force`);
		}

		case 'unknown_domain': {
			throw new CommandError(EXIT.refused, `${attempt}: there is no such failure domain; choose one of ${outcome.known.join(', ')}`);
		}

		case 'invalid': {
			const findings = outcome.findings.map(finding => `  ${formatFinding(finding)}`).join('\n');
			throw new CommandError(EXIT.refused, `${attempt}: the stored configuration is not valid; apply a valid one first:\n${findings}`);
		}

		case 'failed': {
			const [exitCode, advice] = outcome.isUncertain
				? [EXIT.unknown, 'the change may have taken effect; check with config show'] as const
				: [EXIT.unavailable, 'nothing was changed, try again'] as const;
			throw new CommandError(exitCode, `${attempt}: ${outcome.message}; ${advice}`);
		}
	}
}
