/**
 * A write of a runner that the store carries out late shows a draining runner as ready again, until its next heartbeat. Exits with
 * 1 if the runner gets requests later than `drain-ms` after the daemons have acknowledged that it drains.
 */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {send} from '../support/client.mjs';
import {BOUNDS} from '../support/daemon.mjs';
import {configuration, Deployment, HOST} from '../support/deployment.mjs';
import {openRecord} from '../support/record.mjs';
import {Runner} from '../support/runner.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const DAEMONS = 3;
/** Time from the last write whose answer the store loses to the report that the runner drains. */
const CALM_MS = 3300;
/** Time after which the store carries out the lost write: at most 6 s. */
const LATE_MS = 5700;
/** The runner serves for `drain-ms` after its report and a little longer. */
const LINGER_MS = 750;
const SEND_INTERVAL_MS = 40;
const WORK_MS = 400;
const DEADLINE_MS = 3000;
const ZONES = ['braga', 'famalicao', 'guimaraes'];

const {record, close: closeRecord} = openRecord(import.meta.dirname);
const deployment = await Deployment.create({daemons: DAEMONS, config: configuration()});
const {store, daemons} = deployment;
const runners = [];
const results = [];
const traffic = new AbortController();

async function sendTo({front}) {
	for (let count = 1; !traffic.signal.aborted; count++) {
		const isOrder = count % 2 === 0;
		results.push(send(front, {
			method: isOrder ? 'POST' : 'GET', path: isOrder ? '/book/order' : `/look/${count}`, host: HOST, deadlineMs: DEADLINE_MS, record,
		}));
		await delay(SEND_INTERVAL_MS);
	}
}

async function play() {
	for (const [index, zone] of ZONES.entries()) {
		const runner = await Runner.create({
			id: `i-${index + 1}`, service: 'desk', zone, store, record, workMs: WORK_MS,
		});
		runners.push(runner);
		runner.register();
	}

	await deployment.start();
	await delay(1500);
	record('traffic begins');
	const loads = daemons.map(async daemon => sendTo(daemon));
	await delay(1500);

	const [leaving] = runners;
	const {write} = leaving;
	if (HAS_TROUBLE) {
		// The store gives no answer to one heartbeat and carries it out later; the runner goes on with the next one.
		leaving.write = spec => {
			record('store loses a write', {runner: leaving.id, state: spec.state});
			setTimeout(() => {
				record('store carries out the lost write', {runner: leaving.id, state: spec.state});
				write(spec);
			}, LATE_MS);
		};

		leaving.beat();
		leaving.write = write;
	}

	await delay(CALM_MS);
	leaving.state = 'draining';
	leaving.isLeaving = true;
	leaving.restartHeartbeats();
	const drainsSince = performance.now();
	record('store accepts that the runner drains', {runner: leaving.id});
	await delay(BOUNDS['drain-ms'] + LINGER_MS);
	record('runner exits', {runner: leaving.id});
	leaving.exit();
	store.remove('servers', leaving.id);
	await delay(1500);
	traffic.abort();
	await Promise.all(loads);
	const answers = await Promise.all(results);

	const acknowledgedAt = daemons.map(daemon => daemon.hasLogged('event=server ', `server=${leaving.id}`, 'draining=true'));
	const late = leaving.arrivals.filter(({at}) => at > drainsSince + BOUNDS['drain-ms']);
	const lostOrders = answers.filter(({attempt, status}) => status !== 200 && late.some(arrival => arrival.attempt === attempt && arrival.body !== ''));
	record('result', {
		'daemons-that-acknowledged': acknowledgedAt.filter(Boolean).length, 'late-requests': late.length, 'late-orders-cut-off': lostOrders.length,
	});
	return late.length > 0 ? 1 : 0;
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
