/** Who is there and who leaves. Advice only: promises never rest on it. */
export { createServerListWatcher } from "./serverListWatcher.js";
export type { ServerListWatcher, ServerListWatcherOptions } from "./serverListWatcher.js";
