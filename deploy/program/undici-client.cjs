/**
 * The parts of undici that the daemon uses. The bundle takes this file in place of undici's index, which also loads `fetch`,
 * `WebSocket`, caches and mocks. undici is pinned to an exact version, since these are its internal paths.
 */
'use strict';

const Dispatcher = require('undici/lib/dispatcher/dispatcher');

Object.assign(Dispatcher.prototype, require('undici/lib/api'));

module.exports = {
	Agent: require('undici/lib/dispatcher/agent'),
	Client: require('undici/lib/dispatcher/client'),
	buildConnector: require('undici/lib/core/connect'),
};
