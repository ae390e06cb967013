/**
 * Finds out whether a server that broke requests off has ended. A connection that breaks proves no end: links are cut and
 * connections are reset in bulk under servers that live on, and a server that leaves ends as planned.
 */
import { waitFor, type Clock, type Ms } from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { ServerPresence } from "./askServer.js";
import type { ServerAsker } from "./createServerAsker.js";

/** What became of a server that broke a request off. */
export type ServerEndVerdict =
  /** Its process is gone, or another start of it answers. */
  | "ended"
  /** It answers for itself: only the connection broke. */
  | "lives"
  /** It was leaving when it broke the request off. */
  | "left"
  | "not_known";

/** The verdict, and what was heard. */
export type ServerEnd = Readonly<{ verdict: ServerEndVerdict; detail: string }>;

/** What watching needs. */
export type ServerEndsOptions = Readonly<{
  clock: Clock;
  ask: ServerAsker;
  isLeaving: (server: BackendServer) => boolean;
}>;

/** Watches for ends. */
export type ServerEnds = Readonly<{
  /** To be called once a server has broken a request off; requests that break together ask it once. */
  judge: (server: BackendServer) => Promise<ServerEnd>;
}>;

/** How often a server that says nothing is asked, and the pause between: a process that dies may take its time over it. */
const MAX_ASKED = 4;
const ASK_PAUSE_MS = 250 as Ms;

/** How long an end is remembered, for requests whose connections to the server are found broken later. */
const ENDED_MEMORY_MS = 30_000 as Ms;

const NOT_ASKED: ServerEnd = { verdict: "not_known", detail: "it has no health path" };
const LIVES: ServerEnd = { verdict: "lives", detail: "it answers for itself" };
const LEFT: ServerEnd = { verdict: "left", detail: "it was leaving" };

/** What one answer proves; undefined where the server is to be asked again. */
const judgePresence = (presence: ServerPresence | undefined): ServerEnd | undefined => {
  if (!presence) return NOT_ASKED;
  if (presence.kind === "present") return LIVES;
  const { cause, detail } = presence;
  return cause === "ended" ? { verdict: "ended", detail } : undefined;
};

/** Creates the watch. */
export const createServerEnds = (options: ServerEndsOptions): ServerEnds => {
  const { clock, ask, isLeaving } = options;
  const judged = new Map<ServerId, Promise<ServerEnd>>();

  const askUntilHeard = async (server: BackendServer): Promise<ServerEnd> => {
    let detail = "";
    for (let asked = 0; asked < MAX_ASKED; asked += 1) {
      if (asked > 0) await waitFor(clock, ASK_PAUSE_MS);
      const presence = await ask(server);
      const end = judgePresence(presence);
      if (end) return end;
      detail = presence?.kind === "absent" ? presence.detail : "";
    }
    return { verdict: "not_known", detail };
  };

  const judgeOnce = async (server: BackendServer): Promise<ServerEnd> => {
    const { id } = server.entry;
    const end = await askUntilHeard(server);
    const dropJudged = () => void judged.delete(id);
    if (end.verdict === "ended") clock.setTimer(ENDED_MEMORY_MS, dropJudged);
    else dropJudged();
    return end;
  };

  return {
    judge: (server) => {
      const { id } = server.entry;
      const known = judged.get(id);
      if (known) return known;
      if (isLeaving(server)) return Promise.resolve(LEFT);
      const end = judgeOnce(server);
      judged.set(id, end);
      return end;
    },
  };
};
