/**
 * What is known of one registered server, merged from all that the store has shown of it.
 *
 * The store may carry out a write seconds after the server made it, and may come back from an older copy, so an entry that it shows
 * last may be older than what is known. An entry that contradicts a fact and may have been written before it is doubtful: the fact
 * stays in force until the entry has stood for so long that its server must have renewed it.
 *
 * One start of a server, identified by its id and the time of its start, says once that it drains, and ends once.
 */
import type {BackendServer} from './backend-server.js';

/** Longest time in ms after which the store carries out a write that it has not answered. The platform speaks of seconds. */
export const MAX_WRITE_DELAY_MS = 7000;

/** An entry that the store shows. */
export type ServerEntry = {
	readonly server: BackendServer;
	readonly revision: number;
	readonly shownAt: number;
	/** Earliest time at which the server may have written it. */
	readonly writtenAfter: number;
};

/** The latest start of a server that is known to have ended. */
export type EndedStart = {readonly server: BackendServer; readonly endedAt: number};

/** `ended`: the start had ended; `earlier_start`: a later one is known; `drained`: it had said that it drains; `warm`: it was to be cold for longer. */
export type Contradiction = 'ended' | 'earlier_start' | 'drained' | 'warm';

/** A doubtful entry. */
type Doubt = {
	readonly server: BackendServer;
	readonly revision: number;
	readonly since: number;
	/** Time until which all writes of a server that contradicts the entry may be late. */
	readonly lateUntil: number;
	readonly isCopied: boolean;
};

export type ServerRecord = {
	/** What is in force; undefined if only a doubtful entry is known. */
	readonly server: BackendServer | undefined;
	/** Revision of the entry that was merged last. */
	readonly revision: number;
	/** Time at which the start in force was seen first. */
	readonly startSeenAt: number;
	/** Time at which an entry last confirmed the end of the cold time that is in force. */
	readonly coldSeenAt: number;
	readonly doubt: Doubt | undefined;
};

/** `contradicts`: the known fact that the entry contradicts, although it may be the older one. */
export type MergedEntry = {readonly record: ServerRecord; readonly contradicts: Contradiction | undefined};

/** An entry read from the store. */
export const writtenEntry = (server: BackendServer, revision: number, now: number): ServerEntry => ({
	server, revision, shownAt: now, writtenAfter: now - MAX_WRITE_DELAY_MS,
});

/** An entry read from a store that has come back from an older copy. */
export const copiedEntry = (server: BackendServer, revision: number, now: number): ServerEntry => ({
	server, revision, shownAt: now, writtenAfter: -Infinity,
});

export function mergeEntry(known: ServerRecord | undefined, entry: ServerEntry, ended: EndedStart | undefined): MergedEntry {
	if (known?.doubt?.revision === entry.revision && known.doubt.server.id === entry.server.id) {
		// The same entry, listed again.
		return {record: known, contradicts: undefined};
	}

	if (known?.server && isOfSameStart(known.server, entry)) {
		return mergeSameStart(known, known.server, entry);
	}

	const contradicts = findContradictedStart(known, entry, ended);
	return contradicts === undefined || isRenewal(known, entry)
		? {record: createRecord(entry), contradicts: undefined}
		: {record: addDoubtfulStart(known, entry), contradicts};
}

/**
 * Puts a doubtful entry in force that has stood for long enough. `confirmationMs`: time after which the store has removed an entry that
 * is not renewed. `readSince`: the store could be read without interruption since then.
 */
export function settleRecord(known: ServerRecord, {readSince, confirmationMs}: {readonly readSince: number; readonly confirmationMs: number}, now: number): ServerRecord {
	const {doubt} = known;
	if (!doubt || now < Math.max(doubt.since, doubt.lateUntil, readSince) + confirmationMs) {
		return known;
	}

	return acceptDoubt(known, doubt);
}

/** Puts a doubtful entry in force. */
export const acceptDoubt = (known: ServerRecord, {server, revision, since}: Doubt): ServerRecord => ({
	server, revision, startSeenAt: server.id === known.server?.id ? known.startSeenAt : since, coldSeenAt: since, doubt: undefined,
});

const createRecord = ({server, revision, shownAt}: ServerEntry): ServerRecord => ({
	server, revision, startSeenAt: shownAt, coldSeenAt: shownAt, doubt: undefined,
});

/** Without the time of its start, only a copied entry is known not to be of a new start. */
const isOfSameStart = (known: BackendServer, entry: ServerEntry): boolean =>
	known.id === entry.server.id && (entry.server.startedAt !== undefined || isCopied(entry));

function mergeSameStart(known: ServerRecord, inForce: BackendServer, entry: ServerEntry): MergedEntry {
	const {server: stated, revision, shownAt, writtenAfter} = entry;
	const server = {...stated, isDraining: stated.isDraining || inForce.isDraining};
	const drained = inForce.isDraining && !stated.isDraining ? 'drained' : undefined;
	if (revision === known.revision) {
		// The remaining cold time counts from the write, so the end that the same entry names at a second reading is too late.
		return {record: {...known, server: {...server, coldUntil: inForce.coldUntil}}, contradicts: undefined};
	}

	// Of entries that were read together, the earlier ones are of unknown age, and their cold times may be over.
	const isReadTogether = known.coldSeenAt === shownAt;
	if (stated.coldUntil < inForce.coldUntil && writtenAfter < known.coldSeenAt && !isReadTogether) {
		const warm = stated.coldUntil <= shownAt ? 'warm' : undefined;
		return {
			record: {
				...known,
				server: {...server, coldUntil: inForce.coldUntil},
				revision,
				doubt: createDoubt({...entry, server}, true),
			},
			contradicts: drained ?? warm,
		};
	}

	return {
		record: {
			server, revision, startSeenAt: known.startSeenAt, coldSeenAt: shownAt, doubt: undefined,
		},
		contradicts: drained,
	};
}

function findContradictedStart(known: ServerRecord | undefined, entry: ServerEntry, ended: EndedStart | undefined): 'ended' | 'earlier_start' | undefined {
	const {server, writtenAfter} = entry;
	const isOfEndedStart = ended && (isOfSameStart(ended.server, entry) || isEarlierStart(server, ended.server));
	if (isOfEndedStart && writtenAfter < ended.endedAt) {
		return 'ended';
	}

	return known?.server && isEarlierStart(server, known.server) && writtenAfter < known.startSeenAt ? 'earlier_start' : undefined;
}

/** Whether a server that the copy contained, although it had ended, writes its entry again. */
const isRenewal = (known: ServerRecord | undefined, entry: ServerEntry): boolean =>
	known?.server === undefined && known?.doubt?.isCopied === true && known.doubt.server.id === entry.server.id && !isCopied(entry);

function addDoubtfulStart(known: ServerRecord | undefined, entry: ServerEntry): ServerRecord {
	const {server, revision, shownAt} = entry;
	const doubt = createDoubt(entry, known?.server !== undefined);
	const isRepeated = known?.doubt?.server.id === server.id && !isCopied(entry);
	return {
		server: known?.server,
		revision: known?.revision ?? revision,
		startSeenAt: known?.startSeenAt ?? shownAt,
		coldSeenAt: known?.coldSeenAt ?? shownAt,
		doubt: isRepeated ? {...doubt, since: known.doubt.since} : doubt,
	};
}

/** `hasRival`: a server in force contradicts the entry. */
const createDoubt = (entry: ServerEntry, hasRival: boolean): Doubt => ({
	server: entry.server,
	revision: entry.revision,
	since: entry.shownAt,
	lateUntil: hasRival && !isCopied(entry) ? entry.shownAt + MAX_WRITE_DELAY_MS : -Infinity,
	isCopied: isCopied(entry),
});

const isCopied = ({writtenAfter}: ServerEntry): boolean => writtenAfter === -Infinity;

const isEarlierStart = (a: BackendServer, b: BackendServer): boolean =>
	a.startedAt !== undefined && b.startedAt !== undefined && a.startedAt < b.startedAt;
