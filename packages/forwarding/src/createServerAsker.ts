/** Asks a backend server whether the start of it that a box knows is still there. */
import type { BackendServer } from "@stairgauge/directory";
import { askServer, makeAbsent, type ServerPresence } from "./askServer.js";
import type { ForwarderDeps } from "./forwarderTypes.js";

/** Resolves with what was heard; undefined for a server that has no health path to be asked at. */
export type ServerAsker = (server: BackendServer) => Promise<ServerPresence | undefined>;

/** What asking needs. */
export type ServerAskerDeps = Pick<
  ForwarderDeps,
  "clock" | "codec" | "configuration" | "connectLimit" | "placer" | "dispatchSignals"
>;

/** Creates the asker. */
export const createServerAsker =
  (deps: ServerAskerDeps): ServerAsker =>
  async (server) => {
    const { clock, codec, configuration, connectLimit, placer } = deps;
    const { entry } = server;
    const service = configuration.getIndex()?.findService(entry.service);
    if (service?.healthPath === undefined) return undefined;
    const { healthPath } = service;
    if (!placer.takeAsk(server))
      return makeAbsent("it rests, and is not asked", "not_heard");
    const heard = await askServer({ clock, codec, entry, healthPath, connectLimit });
    if (heard.kind === "absent") return heard;
    deps.dispatchSignals({ server, signals: heard.signs, source: { kind: "health" } });
    const isStartUnsaid = heard.startedAt === undefined && entry.startedAt !== undefined;
    if (!isStartUnsaid || !service.engine) return heard;
    // An engine's report tells its start where its health answer does not.
    return (await placer.isAlive(server))
      ? heard
      : makeAbsent("its report is not its own", "not_heard");
  };
