/** Stand-in for the platform's metadata store: objects by kind, one revision counter, lists, watches and faults. */
import type {ServerResponse} from 'node:http';
import {z} from 'zod';
import {
	closeConnection, readJson, sendJson, StandInServer, type Exchange,
} from '../stand-in-server.js';

export type MetadataObject = {
	readonly metadata: {readonly name: string; readonly revision: number; readonly 'created-rev': number};
	readonly spec: unknown;
};

/** A copy of the store at one moment. */
export type StoreCopy = {
	readonly revision: number;
	readonly objects: ReadonlyMap<string, ReadonlyMap<string, MetadataObject>>;
};

type StoreEvent = {readonly kind: string; readonly object: MetadataObject; readonly deleted: boolean};

type PendingWatch = {readonly kind: string; readonly revision: number; readonly res: ServerResponse; readonly timer: NodeJS.Timeout};

/** `busy` responds with 503, `silent` leaves calls unanswered, `reset` closes their connections. */
export type StoreMode = 'serving' | 'busy' | 'silent' | 'reset';

const MAX_PAGE_ENTRIES = 500;
const OBJECTS_PATTERN = /^\/-\/objects\/(?<kind>[^\/]+)$/v;
const bodySchema = z.object({metadata: z.object({name: z.string()}), spec: z.unknown()});

export class StoreStandIn {
	static async create(): Promise<StoreStandIn> {
		const standIn = new StoreStandIn();
		standIn.#server = await StandInServer.create(0, [
			{
				method: 'GET', pattern: OBJECTS_PATTERN, handle: async exchange => standIn.#handle(exchange, () => {
					standIn.#read(exchange);
				}),
			},
			{method: 'POST', pattern: OBJECTS_PATTERN, handle: async exchange => standIn.#handle(exchange, async () => standIn.#create(exchange))},
		]);
		return standIn;
	}

	/** Number of calls so far, including refused ones. */
	calls = 0;
	/** Called before each page of a list is sent. */
	onList: ((page: number) => void) | undefined;
	#era = 1;
	#pages = 0;
	#mode: StoreMode = 'serving';
	#server!: StandInServer;
	#revision = 1;
	#oldestRevision = 0;
	#events: StoreEvent[] = [];
	#objects = new Map<string, Map<string, MetadataObject>>();
	readonly #pendingWatches = new Set<PendingWatch>();
	/** JSON texts by the placeholder that stands for them in the objects. */
	readonly #texts = new Map<string, string>();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	get address(): string {
		return this.#server.address;
	}

	/** Changes how calls are answered. Closes the connections of pending watches, or leaves them unanswered in mode `silent`. */
	setMode(mode: StoreMode): void {
		this.#mode = mode;
		for (const watch of this.#pendingWatches) {
			clearTimeout(watch.timer);
			this.#pendingWatches.delete(watch);
			if (mode !== 'silent') {
				closeConnection(watch.res);
			}
		}
	}

	put(kind: string, name: string, spec: unknown): void {
		const objects = this.#objectsOf(kind);
		const revision = ++this.#revision;
		const object = {metadata: {name, revision, 'created-rev': objects.get(name)?.metadata['created-rev'] ?? revision}, spec};
		objects.set(name, object);
		this.#publish({kind, object, deleted: false});
	}

	/** Stores a JSON text that `JSON.stringify` cannot write, such as a very deeply nested one. */
	putText(kind: string, name: string, text: string): void {
		const placeholder = `text ${this.#texts.size}`;
		this.#texts.set(JSON.stringify(placeholder), text);
		this.put(kind, name, placeholder);
	}

	remove(kind: string, name: string): void {
		const object = this.#objectsOf(kind).get(name);
		if (object) {
			this.#objectsOf(kind).delete(name);
			const revision = ++this.#revision;
			this.#publish({kind, object: {...object, metadata: {...object.metadata, revision}}, deleted: true});
		}
	}

	/** Discards the event history, so that watches from older revisions have to list again. */
	compact(): void {
		this.#events = [];
		this.#oldestRevision = this.#revision;
	}

	copy(): StoreCopy {
		return {revision: this.#revision, objects: new Map([...this.#objects].map(([kind, objects]) => [kind, new Map(objects)]))};
	}

	/** Comes back from an older copy, whose revisions after it are given out again. Pending watches are cut. */
	restore({revision, objects}: StoreCopy): void {
		const mode = this.#mode;
		this.setMode('reset');
		this.#mode = mode;
		this.#era++;
		this.#revision = revision;
		this.#objects = new Map([...objects].map(([kind, copied]) => [kind, new Map(copied)]));
		this.#events = this.#events.filter(event => event.object.metadata.revision <= revision);
		this.#oldestRevision = Math.min(this.#oldestRevision, revision);
	}

	names(kind: string): readonly string[] {
		return [...this.#objectsOf(kind).keys()];
	}

	async close(): Promise<void> {
		this.setMode('reset');
		await this.#server.close();
	}

	#objectsOf(kind: string): Map<string, MetadataObject> {
		let objects = this.#objects.get(kind);
		if (!objects) {
			objects = new Map();
			this.#objects.set(kind, objects);
		}

		return objects;
	}

	#publish(event: StoreEvent): void {
		this.#events.push(event);
		for (const watch of this.#pendingWatches) {
			if (watch.kind === event.kind) {
				clearTimeout(watch.timer);
				this.#pendingWatches.delete(watch);
				this.#sendEvents(watch);
			}
		}
	}

	async #handle({res}: Exchange, answer: () => void | Promise<void>): Promise<void> {
		this.calls++;
		res.setHeader('Store-Era', this.#era);
		switch (this.#mode) {
			case 'serving': {
				await answer();
				break;
			}

			case 'busy': {
				sendJson(res, 503, {});
				break;
			}

			case 'reset': {
				closeConnection(res);
				break;
			}

			case 'silent': {
				break;
			}
		}
	}

	#read({res, url, groups}: Exchange): void {
		const kind = groups.kind!;
		const afterRevision = url.searchParams.get('watch');
		if (afterRevision === null) {
			this.#list(res, kind, url.searchParams.get('after') ?? '');
			return;
		}

		const revision = Number(afterRevision);
		if (revision < this.#oldestRevision || revision > this.#revision) {
			sendJson(res, 410, {});
			return;
		}

		if (this.#events.some(event => event.kind === kind && event.object.metadata.revision > revision)) {
			this.#sendEvents({kind, revision, res});
			return;
		}

		const pendingWatch = {
			kind, revision, res, timer: setTimeout(() => {
				this.#pendingWatches.delete(pendingWatch);
				this.#sendEvents(pendingWatch);
			}, Number(url.searchParams.get('wait-ms') ?? 0)),
		};
		this.#pendingWatches.add(pendingWatch);
	}

	#list(res: ServerResponse, kind: string, after: string): void {
		this.onList?.(++this.#pages);
		res.setHeader('Store-Era', this.#era);
		const all = [...this.#objectsOf(kind).values()].filter(({metadata}) => metadata.name > after).sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1);
		this.#send(res, {entries: all.slice(0, MAX_PAGE_ENTRIES), 'has-more': all.length > MAX_PAGE_ENTRIES, 'as-of': this.#revision});
	}

	#sendEvents({kind, revision, res}: Pick<PendingWatch, 'kind' | 'revision' | 'res'>): void {
		const events = this.#events.filter(event => event.kind === kind && event.object.metadata.revision > revision);
		this.#send(res, {events: events.map(({object, deleted}) => ({object, deleted})), 'as-of': this.#revision});
	}

	#send(res: ServerResponse, body: unknown): void {
		let text = JSON.stringify(body);
		for (const [placeholder, stored] of this.#texts) {
			text = text.replaceAll(placeholder, () => stored);
		}

		if (!res.destroyed) {
			res.writeHead(200, {'content-type': 'application/json'}).end(text);
		}
	}

	async #create({req, res, groups}: Exchange): Promise<void> {
		const {metadata: {name}, spec} = await readJson(req, bodySchema);
		const existing = this.#objectsOf(groups.kind!).get(name);
		if (existing) {
			sendJson(res, 409, existing);
			return;
		}

		this.put(groups.kind!, name, spec);
		sendJson(res, 201, this.#objectsOf(groups.kind!).get(name));
	}
}
