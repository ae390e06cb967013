/** Which servers are live or leaving. The list lags behind, so no guarantee may depend on it. */
export { createServerListWatcher } from "./serverListWatcher.js";
export type { ServerListWatcher, ServerListWatcherOptions } from "./serverListWatcher.js";
