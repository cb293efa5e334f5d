#!/usr/bin/env node
/** Entry point of the daemon: exit code 2 for wrong settings, 1 when it cannot start, 0 after a drain. */
import process from 'node:process';
import {readSettings, SettingsError, type Settings} from './settings.js';

const WRONG_SETTINGS_EXIT_CODE = 2;

function settingsOrExit(): Settings {
	try {
		const settings = readSettings(process.argv.slice(2), process.env);
		return settings === 'help' ? process.exit(0) : settings;
	} catch (err) {
		const message = err instanceof SettingsError ? err.message : String(err);
		process.stderr.write(`fireflyportd: ${message}\n`);
		process.exit(WRONG_SETTINGS_EXIT_CODE);
	}
}

settingsOrExit();
