// The part of undici that a box uses. Its index also loads fetch, web sockets and the runtime's own copy of them,
// which took 50 ms of each start.
const Agent = require("undici/lib/dispatcher/agent.js");
const buildConnector = require("undici/lib/core/connect.js");
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
const api = require("undici/lib/api/index.js");

Object.assign(Dispatcher.prototype, api);
module.exports = { Agent, buildConnector };
