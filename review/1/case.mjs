/**
 * The runners of one zone go down together while they read long prompts with many shared parts. Exits with 1 if daemons leave
 * requests without an answer past the timeout of their route.
 */
import {readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {send} from '../support/client.mjs';
import {Deployment, HOST, ZONES} from '../support/deployment.mjs';
import {openRecord} from '../support/record.mjs';
import {Runner} from '../support/runner.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const DAEMONS = 3;
/** The runners of `fio-lm` of ave-sacos by zone. */
const ENGINES = [6, 5, 5];
const DOWN_MS = 4500;
const WARMUP_MS = 3000;
const PLAY_MS = 25_000;
/** Engines that are busy reading prompts of 20,000 tokens, and write short answers. */
const STREAM = {firstMs: 2900, gapMs: 60, events: 6};
const PROMPT_TOKENS = 20_000;
const OUTPUT_TOKENS = 276;
const COMMON_PARTS = 4;
const DOCUMENTS = 12;
const PARTS_PER_DOCUMENT = 55;
const STREAM_INTERVAL_MS = 28;
const STREAM_DEADLINE_MS = 10_000;
const ORDER_INTERVAL_MS = 100;
const ORDER_DEADLINE_MS = 3000;
const ORDER_TIMEOUT_MS = 1500;
const SLACK_MS = 500;

/** The engines of `fio-lm` of ave-sacos. */
const engine = JSON.parse(readFileSync(path.join(import.meta.dirname, 'engine.json'), 'utf8'));

const route = {
	host: HOST, priority: 1, anonymous: true, sticky: false,
};
const config = {
	version: 1,
	routes: [
		{
			...route,
			name: 'read',
			'path-prefix': '/read/',
			kind: 'stream',
			'timeout-ms': 10_000,
			'target-latency-ms': 1500,
			service: 'lm',
			'max-attempts': 2,
			sticky: true,
			resumable: true,
			'gap-target-ms': 500,
		},
		{
			...route, name: 'book', 'path-prefix': '/book/', kind: 'unsafe', 'timeout-ms': ORDER_TIMEOUT_MS, 'target-latency-ms': 300, service: 'desk', 'max-attempts': 1,
		},
	],
	services: [
		{
			name: 'lm', 'health-path': '/health', 'max-connections': 434, protocol: 'h1', tls: false, 'warmup-s': 3, 'cold-per-s': 36, engine,
		},
		{
			name: 'desk', 'health-path': '/health', 'max-connections': 110, protocol: 'h1', tls: false, 'warmup-s': 0, 'cold-per-s': 0,
		},
	],
	limits: {
		'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
	},
};

const {record, close: closeRecord} = openRecord(import.meta.dirname);
const deployment = await Deployment.create({daemons: DAEMONS, config});
const {store, daemons} = deployment;
const runners = [];
const streams = [];
const orders = [];
const traffic = new AbortController();

const partId = number => number.toString(16).padStart(8, '0');

/** The parts of a prompt: those that all share, those of one document, and one of its own. */
function promptParts(count) {
	const tokens = Math.floor(PROMPT_TOKENS / (COMMON_PARTS + PARTS_PER_DOCUMENT + 1));
	const common = Array.from({length: COMMON_PARTS}, (_, index) => index + 1);
	const shared = Array.from({length: PARTS_PER_DOCUMENT}, (_, index) => (1000 * ((count % DOCUMENTS) + 1)) + index);
	return [...common, ...shared, 1_000_000 + count].map(id => `${partId(id)}:${tokens}`).join(',');
}

let prompts = 0;

async function readTo({front}) {
	while (!traffic.signal.aborted) {
		streams.push(send(front, {
			method: 'POST', path: '/read/contract', host: HOST, deadlineMs: STREAM_DEADLINE_MS, record, headers: {
				'fireflyport-model': 'm', 'fireflyport-token-counts': `${PROMPT_TOKENS},${OUTPUT_TOKENS}`, 'fireflyport-prompt-prefix': promptParts(++prompts),
			},
		}));
		await delay(STREAM_INTERVAL_MS);
	}
}

async function orderAt({front}) {
	while (!traffic.signal.aborted) {
		orders.push(send(front, {
			method: 'POST', path: '/book/order', host: HOST, deadlineMs: ORDER_DEADLINE_MS, record,
		}));
		await delay(ORDER_INTERVAL_MS);
	}
}

async function addEngine(id, zone, coldMs) {
	const runner = await Runner.create({
		id, service: 'lm', zone, store, record, stream: STREAM, slots: engine.slots,
	});
	runners.push(runner);
	runner.register(coldMs);
}

async function play() {
	for (const [index, zone] of ZONES.entries()) {
		for (let number = 1; number <= ENGINES[index]; number++) {
			await addEngine(`e-${zone}-${number}`, zone, 0);
		}

		const desk = await Runner.create({
			id: `d-${zone}`, service: 'desk', zone, store, record, workMs: 60, slots: 6,
		});
		runners.push(desk);
		desk.register();
	}

	await deployment.start();
	await delay(1500);
	record('traffic begins');
	const loads = daemons.flatMap(daemon => [readTo(daemon), orderAt(daemon)]);
	await delay(5000);
	const disruptionAt = performance.now();
	if (HAS_TROUBLE) {
		const lost = runners.filter(({zone, service}) => zone === ZONES[0] && service === 'lm');
		record('runners go down', {zone: ZONES[0], runners: lost.length, requests: lost.flatMap(({arrivals}) => arrivals).filter(({outcome}) => outcome === 'cut off').length});
		for (const runner of lost) {
			runner.exit();
		}

		await delay(DOWN_MS);
		for (const {id} of lost) {
			store.remove('servers', id);
			await addEngine(`${id}-again`, ZONES[0], WARMUP_MS);
		}

		record('runners are back', {zone: ZONES[0]});
	}

	await delay(disruptionAt + PLAY_MS - performance.now());
	traffic.abort();
	await Promise.all(loads);
	const answers = await Promise.all(orders);
	const read = await Promise.all(streams);
	const unanswered = answers.filter(({sentAt, endedAt, status}) => status === undefined || endedAt - sentAt > ORDER_TIMEOUT_MS);
	const late = unanswered.filter(({sentAt, endedAt, status}) => status === undefined || endedAt - sentAt > ORDER_TIMEOUT_MS + SLACK_MS);
	const longestMs = Math.round(Math.max(...answers.map(({sentAt, endedAt}) => endedAt - sentAt)));
	record('result', {
		orders: answers.length,
		'orders-unanswered-at-timeout': unanswered.length,
		'half-a-second-later': late.length,
		'orders-never-answered': answers.filter(({status}) => status === undefined).length,
		'longest-ms': longestMs,
		prompts: read.length,
		'prompts-answered': read.filter(({status}) => status === 200).length,
	});
	return late.length > unanswered.length / 2 ? 1 : 0;
}

try {
	process.exitCode = await play();
} catch (err) {
	record('could not run', {reason: String(err)});
	console.error(err);
	process.exitCode = 2;
} finally {
	traffic.abort();
	for (const runner of runners) {
		runner.exit();
	}

	await deployment.close();
	closeRecord();
}
