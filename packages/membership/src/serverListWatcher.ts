/** Polls the platform's list of live and leaving servers, which lags behind. */
import {
  createPoller,
  type BackendServerName,
  type Clock,
  type Ms,
  type Poller,
} from "@stairgauge/common";
import type { ListedServer, Platform, ReadFailure } from "@stairgauge/stores";

/** Options of a watcher. */
export type ServerListWatcherOptions = Readonly<{
  platform: Platform;
  clock: Clock;
  interval: Ms;
  /** Called when the list begins or ceases to name a server as leaving. */
  onLeavingChange: (server: BackendServerName, isLeaving: boolean) => void;
  onFailure: (failure: ReadFailure) => void;
}>;

/** A running watcher. */
export type ServerListWatcher = Poller &
  Readonly<{
    /** Reads the list once. */
    look: () => Promise<void>;
  }>;

const listLeaving = (servers: readonly ListedServer[]): ReadonlySet<BackendServerName> =>
  new Set(
    servers
      .filter((server) => server.kind === "backend_server" && server.state === "leaving")
      .map((server) => server.name as BackendServerName),
  );

/** Creates a watcher. A server that is no longer in the list counts as not leaving. */
export const createServerListWatcher = (
  options: ServerListWatcherOptions,
): ServerListWatcher => {
  const { platform, clock } = options;
  let leaving: ReadonlySet<BackendServerName> = new Set();

  const poll = async () => {
    const listed = await platform.boxes.read();
    if (listed.err) {
      options.onFailure(listed.val);
      return;
    }
    const now = listLeaving(listed.val);
    for (const server of now)
      if (!leaving.has(server)) options.onLeavingChange(server, true);
    for (const server of leaving)
      if (!now.has(server)) options.onLeavingChange(server, false);
    leaving = now;
  };
  const poller = createPoller({ clock, interval: options.interval, poll });
  return { look: poll, ...poller };
};
