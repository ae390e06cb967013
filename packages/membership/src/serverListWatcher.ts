/** Watches the platform's lagging list of live and leaving servers. */
import type { BackendServerName, Clock, Ms, Timer } from "@stairgauge/common";
import type { ListedServer, Platform, ReadFailure } from "@stairgauge/platform";

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
export type ServerListWatcher = Readonly<{
  look: () => Promise<void>;
  start: () => void;
  stop: () => void;
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
  let timer: Timer | undefined;
  let isStopped = false;

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
  const poll = async () => {
    await look();
    if (!isStopped) timer = clock.setTimer(options.interval, () => void poll());
  };

  return {
    look,
    start: () => void poll(),
    stop: () => {
      isStopped = true;
      timer?.cancel();
    },
  };
};
