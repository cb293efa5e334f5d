/** What one attempt sends, and where. */
import type {ExchangeRequest} from '../forwarding/exchange.js';
import {RELAYED_CONFIGURATION_FIELD, RELAYED_FIELD} from '../http/connection-headers.js';
import type {GatewayRequest} from './gateway-request.js';
import type {MemoryReservation} from './memory-reservation.js';
import type {ServerChoice} from './server-choice.js';
import type {WireFormat} from './wire-format.js';

/** What an attempt is sent to. */
export type AttemptTarget =
	| {
		readonly kind: 'server';
		readonly choice: ServerChoice;
		/** Memory reserved on helpers for the prompt. */
		readonly memory: MemoryReservation | undefined;
	}
	/** The daemon of another host at `address` (IP:PORT), which relays the request to a backend server by a configuration that is not older. */
	| {readonly kind: 'host'; readonly address: string; readonly requiredConfiguration: number};

/** An attempt, as far as its request message follows from it. `lastEventId`: the last event that the client has received. */
type AttemptMessage = {
	readonly request: GatewayRequest;
	readonly target: AttemptTarget;
	readonly wire: WireFormat;
	readonly sink: {readonly lastEventId: number | undefined};
};

export function createExchangeRequest(message: AttemptMessage, timeLeftMs: number): ExchangeRequest {
	const {request: {req, body}, target} = message;
	return {
		address: target.kind === 'server' ? target.choice.server.address : target.address, method: req.method!, path: req.url!, headers: createHeaders(message, timeLeftMs), body,
	};
}

function createHeaders({
	request: {req, workspace, urgency}, target, wire, sink: {lastEventId},
}: AttemptMessage, timeLeftMs: number): readonly string[] {
	const deadlineMs = Math.floor(timeLeftMs);
	switch (target.kind) {
		case 'server': {
			const {choice: {server, helpers}, memory} = target;
			return wire.backendHeaders(req.rawHeaders, {
				instanceId: server.instanceId,
				deadlineMs,
				workspace: workspace?.name,
				lastEventId,
				helpers: helpers.map(helper => ({address: helper.address, reservation: memory?.idAt(helper)})),
				urgency,
			});
		}

		case 'host': {
			return [...wire.relayHeaders(req.rawHeaders, {deadlineMs, lastEventId}), RELAYED_FIELD, '1', RELAYED_CONFIGURATION_FIELD, String(target.requiredConfiguration)];
		}
	}
}
