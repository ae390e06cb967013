/** Watches the platform's lagging list of live and leaving servers. */
import {
  createPoller,
  type BackendServerName,
  type Clock,
  type Ms,
  type Poller,
} from "@stairgauge/common";
import type { ListedServer, Platform, ReadFailure } from "@stairgauge/stores";

/** What a watcher needs. */
export type ServerListWatcherOptions = Readonly<{
  platform: Platform;
  clock: Clock;
  interval: Ms;
  /** Told of each change: the server leaves, or does no longer. */
  onMark: (server: BackendServerName, isLeaving: boolean) => void;
  onFailure: (failure: ReadFailure) => void;
}>;

/** A running watcher. */
export type ServerListWatcher = Poller &
  Readonly<{
    look: () => Promise<void>;
  }>;

const listLeaving = (servers: readonly ListedServer[]): ReadonlySet<BackendServerName> =>
  new Set(
    servers
      .filter((server) => server.kind === "backend_server" && server.state === "leaving")
      .map((server) => server.name as BackendServerName),
  );

/** Creates a watcher; a server that the list no longer names keeps no mark of the list. */
export const createServerListWatcher = (
  options: ServerListWatcherOptions,
): ServerListWatcher => {
  const { platform, clock } = options;
  let leaving: ReadonlySet<BackendServerName> = new Set();

  const look = async () => {
    const listed = await platform.boxes.read();
    if (listed.err) {
      options.onFailure(listed.val);
      return;
    }
    const now = listLeaving(listed.val);
    for (const server of now) if (!leaving.has(server)) options.onMark(server, true);
    for (const server of leaving) if (!now.has(server)) options.onMark(server, false);
    leaving = now;
  };
  const poller = createPoller({ clock, interval: options.interval, look });
  return { look, ...poller };
};
