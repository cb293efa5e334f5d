/** Stand-in for the platform's store. Each daemon has a view of its own, which can be cut off and which shows addresses as seen from its host. */
import {createServer} from 'node:http';
import {listenOn} from './ports.mjs';

const PAGE_ENTRIES = 50;

export class Store {
	#revision = 1;
	#objects = new Map();
	#events = [];
	#views = [];

	/** Opens a view for one daemon. `show(kind, object)` returns the object as that daemon reads it. */
	async openView(show = (_kind, object) => object) {
		const view = new StoreView(this, show);
		await view.listen();
		this.#views.push(view);
		return view;
	}

	/** Creates or replaces an object. A write that changes nothing produces no event. */
	put(kind, name, spec) {
		const objects = this.objectsOf(kind);
		const known = objects.get(name);
		if (known && JSON.stringify(known.spec) === JSON.stringify(spec)) {
			return;
		}

		const revision = ++this.#revision;
		const object = {
			metadata: {
				name, revision, 'created-rev': known?.metadata['created-rev'] ?? revision, finalizers: [], deleting: false,
			},
			spec,
			status: null,
		};
		objects.set(name, object);
		this.#publish(kind, object, false);
	}

	remove(kind, name) {
		const objects = this.objectsOf(kind);
		const object = objects.get(name);
		if (object) {
			objects.delete(name);
			this.#publish(kind, {...object, metadata: {...object.metadata, revision: ++this.#revision}}, true);
		}
	}

	objectsOf(kind) {
		if (!this.#objects.has(kind)) {
			this.#objects.set(kind, new Map());
		}

		return this.#objects.get(kind);
	}

	get revision() {
		return this.#revision;
	}

	eventsAfter(kind, revision) {
		return this.#events.filter(event => event.kind === kind && event.object.metadata.revision > revision);
	}

	async close() {
		await Promise.all(this.#views.map(async view => view.close()));
	}

	#publish(kind, object, deleted) {
		this.#events.push({kind, object, deleted});
		for (const view of this.#views) {
			view.notify(kind);
		}
	}
}

class StoreView {
	#mode = 'serving';
	#server;
	#address;
	#watches = new Set();
	#deadSockets = new WeakSet();

	constructor(store, show) {
		this.store = store;
		this.show = show;
		this.#server = createServer((req, res) => {
			this.#handle(req, res);
		});
		this.#server.keepAliveTimeout = 60_000;
	}

	async listen() {
		this.#address = await listenOn(this.#server);
	}

	get address() {
		return this.#address;
	}

	/** `serving`, `silent` (calls get no answer, and their connections never answer again) or `reset`. */
	setMode(mode) {
		this.#mode = mode;
		if (mode === 'serving') {
			return;
		}

		for (const watch of this.#watches) {
			clearTimeout(watch.timer);
			this.#refuse(watch.res);
		}

		this.#watches.clear();
	}

	notify(kind) {
		for (const watch of this.#watches) {
			if (watch.kind === kind) {
				this.#finish(watch);
			}
		}
	}

	async close() {
		this.#server.closeAllConnections();
		await new Promise(resolve => {
			this.#server.close(resolve);
		});
	}

	#refuse(res) {
		if (this.#mode === 'reset') {
			res.socket?.resetAndDestroy();
		} else {
			this.#deadSockets.add(res.req.socket);
		}
	}

	#handle(req, res) {
		if (this.#mode !== 'serving') {
			this.#refuse(res);
			return;
		}

		if (this.#deadSockets.has(req.socket)) {
			return;
		}

		const url = new URL(req.url, 'http://store');
		const [kind, name] = url.pathname.split('/').slice(3);
		if (req.method === 'POST') {
			this.#create(req, res, kind);
		} else if (req.method !== 'GET') {
			send(res, 405, {});
		} else if (name !== undefined) {
			const object = this.store.objectsOf(kind).get(decodeURIComponent(name));
			send(res, object ? 200 : 404, object ? this.show(kind, object) : {});
		} else if (url.searchParams.has('watch')) {
			this.#watch(res, kind, Number(url.searchParams.get('watch')), Number(url.searchParams.get('wait-ms') ?? 0));
		} else {
			this.#list(res, kind, url.searchParams.get('after') ?? '');
		}
	}

	async #create(req, res, kind) {
		let text = '';
		for await (const chunk of req) {
			text += chunk;
		}

		const {metadata: {name}, spec} = JSON.parse(text);
		const known = this.store.objectsOf(kind).get(name);
		if (!known) {
			this.store.put(kind, name, spec);
		}

		send(res, known ? 409 : 201, this.store.objectsOf(kind).get(name));
	}

	#list(res, kind, after) {
		const all = [...this.store.objectsOf(kind).values()].filter(({metadata: {name}}) => name > after).sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1);
		send(res, 200, {
			entries: all.slice(0, PAGE_ENTRIES).map(object => this.show(kind, object)), 'has-more': all.length > PAGE_ENTRIES, 'as-of': this.store.revision,
		});
	}

	#watch(res, kind, revision, waitMs) {
		const watch = {kind, revision, res};
		this.#watches.add(watch);
		watch.timer = setTimeout(() => {
			this.#finish(watch);
		}, waitMs);
		if (this.store.eventsAfter(kind, revision).length > 0) {
			this.#finish(watch);
		}
	}

	#finish(watch) {
		clearTimeout(watch.timer);
		this.#watches.delete(watch);
		const events = this.store.eventsAfter(watch.kind, watch.revision).map(({object, deleted}) => ({object: this.show(watch.kind, object), deleted}));
		send(watch.res, 200, {events, 'as-of': this.store.revision});
	}
}

function send(res, status, body) {
	if (!res.destroyed) {
		res.writeHead(status, {'content-type': 'application/json'});
		res.end(JSON.stringify(body));
	}
}
