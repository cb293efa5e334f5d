/** Stand-in of the platform's metadata store: objects by kind, one revision counter, lists, watches and its disturbances. */
import type {ServerResponse} from 'node:http';
import {z} from 'zod';
import {
	closeConnection, readJson, sendJson, StandInServer, type Exchange,
} from '../stand-in-server.js';

export type StoredObject = {
	readonly metadata: {readonly name: string; readonly revision: number; readonly 'created-rev': number};
	readonly spec: unknown;
};

type StoreEvent = {readonly kind: string; readonly object: StoredObject; readonly deleted: boolean};

type Waiting = {readonly kind: string; readonly revision: number; readonly res: ServerResponse; readonly timer: NodeJS.Timeout};

/** `silent` leaves calls without an answer, `reset` closes their connections. */
export type StoreMode = 'serving' | 'busy' | 'silent' | 'reset';

const PAGE_ENTRIES = 500;
const OBJECT_PATTERN = /^\/-\/objects\/(?<kind>[^\/]+)$/v;
const bodySchema = z.object({metadata: z.object({name: z.string()}), spec: z.unknown()});

export class StoreStandIn {
	static async create(): Promise<StoreStandIn> {
		const standIn = new StoreStandIn();
		standIn.#server = await StandInServer.create(0, [
			{
				method: 'GET', pattern: OBJECT_PATTERN, handle: async exchange => standIn.#handle(exchange, () => {
					standIn.#read(exchange);
				}),
			},
			{method: 'POST', pattern: OBJECT_PATTERN, handle: async exchange => standIn.#handle(exchange, async () => standIn.#create(exchange))},
		]);
		return standIn;
	}

	/** Calls so far, refused ones included. */
	calls = 0;
	#mode: StoreMode = 'serving';
	#server!: StandInServer;
	#revision = 1;
	#oldestRevision = 0;
	#events: StoreEvent[] = [];
	readonly #objects = new Map<string, Map<string, StoredObject>>();
	readonly #waiting = new Set<Waiting>();

	private constructor() {} // eslint-disable-line @typescript-eslint/no-empty-function

	get address(): string {
		return this.#server.address;
	}

	/** Changes how calls are answered. Waiting watches are cut, or stay silent for ever in mode `silent`. */
	setMode(mode: StoreMode): void {
		this.#mode = mode;
		for (const waiting of this.#waiting) {
			clearTimeout(waiting.timer);
			this.#waiting.delete(waiting);
			if (mode !== 'silent') {
				closeConnection(waiting.res);
			}
		}
	}

	put(kind: string, name: string, spec: unknown): void {
		const objects = this.#kind(kind);
		const revision = ++this.#revision;
		const object = {metadata: {name, revision, 'created-rev': objects.get(name)?.metadata['created-rev'] ?? revision}, spec};
		objects.set(name, object);
		this.#publish({kind, object, deleted: false});
	}

	remove(kind: string, name: string): void {
		const object = this.#kind(kind).get(name);
		if (object) {
			this.#kind(kind).delete(name);
			const revision = ++this.#revision;
			this.#publish({kind, object: {...object, metadata: {...object.metadata, revision}}, deleted: true});
		}
	}

	/** Drops the history, so that watches from before have to list again. */
	compact(): void {
		this.#events = [];
		this.#oldestRevision = this.#revision;
	}

	names(kind: string): readonly string[] {
		return [...this.#kind(kind).keys()];
	}

	async close(): Promise<void> {
		this.setMode('reset');
		await this.#server.close();
	}

	#kind(kind: string): Map<string, StoredObject> {
		let objects = this.#objects.get(kind);
		if (!objects) {
			objects = new Map();
			this.#objects.set(kind, objects);
		}

		return objects;
	}

	#publish(event: StoreEvent): void {
		this.#events.push(event);
		for (const waiting of this.#waiting) {
			if (waiting.kind === event.kind) {
				clearTimeout(waiting.timer);
				this.#waiting.delete(waiting);
				this.#sendEvents(waiting);
			}
		}
	}

	async #handle({res}: Exchange, answer: () => void | Promise<void>): Promise<void> {
		this.calls++;
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
		const watch = url.searchParams.get('watch');
		if (watch === null) {
			this.#list(res, kind, url.searchParams.get('after') ?? '');
			return;
		}

		const revision = Number(watch);
		if (revision < this.#oldestRevision) {
			sendJson(res, 410, {});
			return;
		}

		if (this.#events.some(event => event.kind === kind && event.object.metadata.revision > revision)) {
			this.#sendEvents({kind, revision, res});
			return;
		}

		const waiting = {
			kind, revision, res, timer: setTimeout(() => {
				this.#waiting.delete(waiting);
				this.#sendEvents(waiting);
			}, Number(url.searchParams.get('wait-ms') ?? 0)),
		};
		this.#waiting.add(waiting);
	}

	#list(res: ServerResponse, kind: string, after: string): void {
		const all = [...this.#kind(kind).values()].filter(({metadata}) => metadata.name > after).sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1);
		sendJson(res, 200, {entries: all.slice(0, PAGE_ENTRIES), 'has-more': all.length > PAGE_ENTRIES, 'as-of': this.#revision});
	}

	#sendEvents({kind, revision, res}: Pick<Waiting, 'kind' | 'revision' | 'res'>): void {
		const events = this.#events.filter(event => event.kind === kind && event.object.metadata.revision > revision);
		sendJson(res, 200, {events: events.map(({object, deleted}) => ({object, deleted})), 'as-of': this.#revision});
	}

	async #create({req, res, groups}: Exchange): Promise<void> {
		const {metadata: {name}, spec} = await readJson(req, bodySchema);
		const known = this.#kind(groups.kind!).get(name);
		if (known) {
			sendJson(res, 409, known);
			return;
		}

		this.put(groups.kind!, name, spec);
		sendJson(res, 201, this.#kind(groups.kind!).get(name));
	}
}
