/**
 * Starts the bundled daemon from V8's code cache. On a weak host, parsing and compiling the bundle takes several times as
 * long as running it. V8 ignores a cache of another version or other flags and compiles the bundle.
 */
'use strict';

const {readFileSync, writeFileSync} = require('node:fs');
const Module = require('node:module');
const path = require('node:path');
const process = require('node:process');
const {Script} = require('node:vm');

const bundleFile = path.join(__dirname, 'fireflyportd-bundle.cjs');
const cacheFile = path.join(__dirname, 'fireflyportd-bundle.cache');

function readCache() {
	try {
		return readFileSync(cacheFile);
	} catch (err) {
		// The build writes the cache by running this launcher without one.
		if (err.code !== 'ENOENT') {
			throw err;
		}

		return undefined;
	}
}

const cachedData = readCache();
const script = new Script(Module.wrap(readFileSync(bundleFile, 'latin1')), {filename: bundleFile, cachedData});
if (script.cachedDataRejected) {
	process.stderr.write('fireflyportd: V8 rejected the code cache; the start takes longer\n');
}

if (process.argv.includes('--write-code-cache')) {
	process.on('exit', () => {
		writeFileSync(cacheFile, script.createCachedData());
	});
}

script.runInThisContext().call(exports, exports, require, module, bundleFile, __dirname);
