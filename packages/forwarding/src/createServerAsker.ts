/** Asks a backend server whether the start of it that a box knows is still there. */
import type { BackendServer } from "@stairgauge/directory";
import { askServer, makeAbsent, type ServerSign } from "./askServer.js";
import type { ForwarderDeps } from "./forwarderTypes.js";

/** Resolves with what was heard; undefined for a server that has no health path to be asked at. */
export type ServerAsker = (server: BackendServer) => Promise<ServerSign | undefined>;

/** What asking needs. */
export type ServerAskerDeps = Pick<
  ForwarderDeps,
  "clock" | "codec" | "configuration" | "connectLimit" | "placer"
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
    placer.recordAsk(server);
    const sign = await askServer({ clock, codec, entry, healthPath, connectLimit });
    if (sign.kind === "absent") return sign;
    placer.onLimitSign(server, sign.limit, undefined);
    if (sign.warmUpLeft !== undefined) placer.onWarmUpTold(server, sign.warmUpLeft);
    const isStartUnsaid = sign.startedAt === undefined && entry.startedAt !== undefined;
    if (!isStartUnsaid || !service.engine) return sign;
    // An engine's report tells its start where its health answer does not.
    return (await placer.isAlive(server))
      ? sign
      : makeAbsent("its report is not its own", "not_heard");
  };
