/** Checks whether the process of a backend server that the box has on record still runs. */
import type { Clock, Ms } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import type { ReceivedSignals } from "@stairgauge/signals";
import { askServer, makeAbsent, type ServerPresence } from "./askServer.js";
import type { ConfigurationView } from "./configurationView.js";
import type { Placer } from "./placer.js";
import type { ServerExchanges } from "./serverExchanges.js";
import type { HeadCodec } from "./types.js";

/** Resolves with the result of a health check; undefined for a server without a health path. */
export type ServerAsker = (server: BackendServer) => Promise<ServerPresence | undefined>;

/** Dependencies of the check. */
export type ServerAskerDeps = Readonly<{
  clock: Clock;
  codec: HeadCodec;
  configuration: Pick<ConfigurationView, "getIndex">;
  /** Timeout for establishing a connection to a server. */
  connectLimit: Ms;
  exchanges: ServerExchanges;
  placer: Pick<Placer, "takeAsk" | "isAlive">;
  dispatchSignals: (received: ReceivedSignals) => void;
}>;

/** Creates the check. */
export const createServerAsker =
  (deps: ServerAskerDeps): ServerAsker =>
  async (server) => {
    const { clock, codec, configuration, connectLimit, exchanges, placer } = deps;
    const { entry } = server;
    const service = configuration.getIndex()?.findService(entry.service);
    if (service?.healthPath === undefined) return undefined;
    const { healthPath } = service;
    if (!placer.takeAsk(server))
      return makeAbsent(
        "it asked for a backoff, so no health check was sent",
        "not_heard",
      );
    const health = await askServer({
      clock,
      codec,
      entry,
      healthPath,
      connectLimit,
      open: (build, sink) => exchanges.open({ server, isNewWork: false, build, sink }),
    });
    if (health.kind === "absent") return health;
    deps.dispatchSignals({ server, signals: health.signals, source: { kind: "health" } });
    const isStartUnsaid = health.startedAt === undefined && entry.startedAt !== undefined;
    if (!isStartUnsaid || !service.engine) return health;
    // If an engine's health answer does not state its start, its report does.
    return (await placer.isAlive(server))
      ? health
      : makeAbsent("its report is not its own", "not_heard");
  };
