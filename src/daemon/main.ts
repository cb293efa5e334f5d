#!/usr/bin/env node
/** Entry point of the daemon. Exits with code 2 for invalid settings, 1 when it cannot start, and 0 after a drain. */
import process from 'node:process';
import {createLogger} from '../util/logger.js';
import {createMetrics} from '../util/metrics.js';
import {Daemon} from './daemon.js';
import {readSettings, SettingsError, type Settings} from './settings.js';
import {createComponents} from './wiring.js';

const INVALID_SETTINGS_EXIT_CODE = 2;
const START_FAILED_EXIT_CODE = 1;

function readSettingsOrExit(): Settings {
	try {
		const settings = readSettings(process.argv.slice(2), process.env);
		return settings === 'help' ? process.exit(0) : settings;
	} catch (err) {
		const message = err instanceof SettingsError || (err instanceof Error && err.name === 'CACError') ? err.message : String(err);
		process.stderr.write(`fireflyportd: ${message}\n`);
		process.exit(INVALID_SETTINGS_EXIT_CODE);
	}
}

const settings = readSettingsOrExit();
const logger = createLogger(settings.logLevel, {daemon: settings.id});
const metrics = createMetrics(settings.statsd, {region: settings.region, failure_domain: settings.failureDomain});

process.on('unhandledRejection', reason => {
	// Log and keep running: an error in one request must not interrupt the others.
	logger.error('unexpected_error', {message: reason instanceof Error ? reason.stack : String(reason)});
});

const starting = Daemon.create(settings, {createComponents, logger, metrics});
let isShuttingDown = false;

async function shutDown(): Promise<void> {
	if (isShuttingDown) {
		return;
	}

	isShuttingDown = true;
	const daemon = await starting;
	await daemon.drain();
	await metrics.close();
	process.exit(0);
}

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
	process.on(signal, () => {
		void shutDown();
	});
}

try {
	await starting;
} catch (err) {
	logger.error('start_failed', {message: err instanceof Error ? err.message : String(err)});
	process.exit(START_FAILED_EXIT_CODE);
}
