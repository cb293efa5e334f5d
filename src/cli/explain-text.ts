/** Formats an explanation of `explain` as plain text. */
import type {
	ExplainedDecision, ExplainedServer, Explanation,
} from '../gateway/explanation.js';

export function formatExplanation({configuration, request, queue, servers, decision}: Explanation): string {
	return [
		`decision: ${formatDecision(decision)}`,
		`configuration: ${configuration === undefined ? 'none yet' : `version ${configuration}`}`,
		...(request ? formatRequest(request) : []),
		...(queue ? [formatQueue(queue)] : []),
		...(servers.length === 0 ? [] : [`servers (${servers.length}):`]),
		...servers.map(server => `  ${formatServer(server)}`),
	].join('\n');
}

const ms = (value: number): string => `${Math.round(value)} ms`;

function formatDecision(decision: ExplainedDecision): string {
	switch (decision.kind) {
		case 'server': {
			const {server, failureDomain, expectedMs, helpers, reserved, equalServers} = decision;
			return [
				`goes to ${server} in ${failureDomain}, first event expected in ${ms(expectedMs)}`,
				...(helpers.length === 0 ? [] : [`helpers ${helpers.join(', ')}`]),
				...(reserved.length === 0 ? [] : [`reserves ${reserved.map(share => `${share.tokens} tokens on ${share.server}`).join(', ')}`]),
				...(equalServers.length === 0 ? [] : [`one of ${equalServers.length} equal servers, drawn at random: ${equalServers.join(', ')}`]),
			].join('; ');
		}

		case 'host': {
			return `goes through the daemon at ${decision.address}, as this host has no path to the servers`;
		}

		case 'wait': {
			const {why, placeInMs, isKnown, longestMs} = decision;
			return `waits in this daemon (${why}) for ${ms(longestMs)} at most; a place is ${isKnown ? 'known to come' : 'estimated'} in ${ms(placeInMs)}`;
		}

		case 'refused': {
			const {code, message, retryAfterMs} = decision;
			return `refused with ${code}: ${message}; ${retryAfterMs === undefined ? 'no advice when to come back' : `come back after ${ms(retryAfterMs)}`}`;
		}
	}
}

function formatRequest({
	route, workspace, service, services, rank, urgency, deadlineMs, targetMs, silenceLimitMs, regions, maxBodyBytes, coldRequestsPerSecond,
}: NonNullable<Explanation['request']>): readonly string[] {
	const drawn = services.length > 1 ? ` (drawn by weight from ${services.map(item => `${item.service} ${item.weight}`).join(', ')})` : '';
	return [
		`route: ${route}, ${workspace === undefined ? 'no workspace' : `workspace ${workspace}`}`,
		`service: ${service}${drawn}, rank ${rank}, urgency ${urgency ?? 'none'}`,
		`times: deadline ${ms(deadlineMs)}, target ${ms(targetMs)}, silence limit ${ms(silenceLimitMs)}`,
		`limits: body ${maxBodyBytes} bytes, regions ${regions?.join(', ') ?? 'all'}, ${coldRequestsPerSecond === 0 ? 'no rate' : `${coldRequestsPerSecond} requests/s`} on a cold server`,
	];
}

const formatQueue = ({isUsed, waiting, position}: NonNullable<Explanation['queue']>): string => isUsed
	? `queue: ${waiting} requests wait in this daemon; place ${position} in the order of the service${position > 1 ? ', those before it are offered places first' : ''}`
	: `queue: ${waiting} requests wait in this daemon; requests to the service do not wait`;

function formatServer({
	server, failureDomain, requests, backlogMs, usedTokens, expectedMs, isSuspect, isCold, limitWaitMs, leftOut,
}: ExplainedServer): string {
	return [
		`${server}  ${failureDomain}  ${leftOut === null ? 'used' : `left out: ${leftOut}`}`,
		`${requests} requests`,
		...(backlogMs === undefined ? [] : [`backlog ${ms(backlogMs)}`]),
		...(usedTokens === undefined ? [] : [`${usedTokens} tokens used`]),
		...(expectedMs === undefined ? [] : [`first event alone in ${ms(expectedMs)}`]),
		...(isSuspect ? ['suspect'] : []),
		...(isCold ? ['cold'] : []),
		...(limitWaitMs > 0 ? [`at a limit for ${ms(limitWaitMs)}`] : []),
	].join('; ');
}
