/** Datagrams between daemons: messages about placements, lost servers and the relayed store, in JSON. */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {crashedSchema, quarantinedSchema, soundSchema} from '../quarantine/quarantine-messages.js';

const placementSchema = z.object({
	id: z.string(),
	server: z.string(),
	helpers: z.array(z.string()).readonly(),
	prefillMs: z.number(),
	contextTokens: z.number(),
	reserved: z.array(z.object({server: z.string(), tokens: z.number()})).readonly(),
	gapTargetMs: z.number(),
	weight: z.number(),
	targetMs: z.number(),
	isRepeat: z.boolean().optional(),
	workspace: z.number().int().nonnegative().optional(),
});

/** Time in ms since the first event of a placement; absent while its prompt is being prefilled. */
const startedAgeSchema = z.number().optional();

/** The daemon that a message originates from, and its failure domain. */
const originFields = {daemon: z.string(), domain: z.string()};

const messageSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('opened'),
		daemon: z.string(),
		/** Failure domain of `daemon`. */
		domain: z.string(),
		placement: placementSchema,
		ageMs: z.number(),
		startedAgeMs: startedAgeSchema,
	}),
	z.object({
		kind: z.literal('started'), daemon: z.string(), domain: z.string(), id: z.string(),
	}),
	z.object({
		kind: z.literal('closed'),
		daemon: z.string(),
		domain: z.string(),
		id: z.string(),
		/** A server has run the request and sent a whole answer that is no stream. Daemons of earlier versions do not tell. */
		isAnswered: z.boolean().optional(),
	}),
	/** A backend server does not answer at its registered address. */
	z.object({
		kind: z.literal('lost'), daemon: z.string(), domain: z.string(), server: z.string(), forMs: z.number(),
	}),
	/** All open placements of the daemon. */
	z.object({
		kind: z.literal('alive'),
		daemon: z.string(),
		domain: z.string(),
		open: z.array(z.object({id: z.string(), startedAgeMs: startedAgeSchema})).readonly(),
	}),
	/** Placements that an `alive` message listed and that the sender does not have. */
	z.object({kind: z.literal('missing'), daemon: z.string(), ids: z.array(z.string()).readonly()}),
	/** Heartbeat with the state of the sender's copy of the store. */
	z.object({
		kind: z.literal('beat'),
		/** Time in ms since the sender's copy of the store was last confirmed; absent before the first time. */
		storeAgeMs: z.number().optional(),
		/** Revision of the sender's copy for each kind. */
		revisions: z.record(z.string(), z.number()),
		/** Era of each of these revisions. Daemons of earlier versions send none. */
		eras: z.record(z.string(), z.number()).default({}),
		wantsReply: z.boolean(),
	}),
	/** A limit that a server named in a response; without a number, its responses no longer name one. */
	z.object({
		kind: z.literal('limit'), ...originFields, server: z.string(), perSecond: z.number().nonnegative().optional(),
	}),
	crashedSchema.extend(originFields),
	soundSchema.extend(originFields),
	// Each daemon repeats what it knows, so this message is not forwarded.
	quarantinedSchema,
]);

const datagramSchema = z.object({
	/** Role of the sender towards the receiver. */
	as: z.enum(['follower', 'relay', 'peer', 'probe']),
	failureDomain: z.string(),
	cores: z.number(),
	messages: z.array(messageSchema).readonly(),
});

export type LoadMessage = z.infer<typeof messageSchema>;
/** A message of one daemon that relays forward. */
export type RelayedMessage = Extract<LoadMessage, {readonly domain: string}>;
export type Heartbeat = Extract<LoadMessage, {kind: 'beat'}>;
export type Datagram = z.infer<typeof datagramSchema>;

/** Returns undefined if the datagram cannot be read. */
export function parseDatagram(data: Uint8Array): Datagram | undefined {
	try {
		return datagramSchema.parse(JSON.parse(Buffer.from(data).toString()));
	} catch {
		// The caller logs the peer that sent the datagram.
		return undefined;
	}
}
