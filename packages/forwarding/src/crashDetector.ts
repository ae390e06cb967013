/**
 * Finds out whether a server that broke connections has crashed. A broken connection alone proves
 * nothing: network failures reset many connections of healthy servers at once, and a leaving server
 * ends as planned.
 */
import { waitFor, type Clock, type Ms } from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { ServerPresence } from "./askServer.js";
import type { ServerAsker } from "./createServerAsker.js";
import { describeFault } from "./runStep.js";

/** State of a server that broke the connection of a request. */
export type CrashVerdict =
  /** Its process is gone or was restarted. */
  | "ended"
  /** It answers: only the connection broke. */
  | "lives"
  /** It was leaving when the connection broke. */
  | "left"
  /** It gave no answer, or cannot be checked. */
  | "not_known";

/** The verdict, and how it was reached. */
export type CrashCheck = Readonly<{ verdict: CrashVerdict; detail: string }>;

/** Options of the detector. */
export type CrashDetectorOptions = Readonly<{
  clock: Clock;
  ask: ServerAsker;
  isLeaving: (server: BackendServer) => boolean;
}>;

/** Detects crashes of servers. */
export type CrashDetector = Readonly<{
  /** Checks a server that broke a connection; requests that break at the same time share one check. */
  check: (server: BackendServer) => Promise<CrashCheck>;
}>;

/**
 * Number of health checks of a server that does not answer, and the pause between them. A dying process
 * may keep its port open for a while.
 */
const MAX_ASKED = 4;
const ASK_PAUSE_MS = 250 as Ms;

/** How long a crash is remembered, for requests whose connections to the server are found broken later. */
const ENDED_MEMORY_MS = 30_000 as Ms;

const NOT_ASKED: CrashCheck = { verdict: "not_known", detail: "it has no health path" };
const LIVES: CrashCheck = { verdict: "lives", detail: "it answers for itself" };
const LEFT: CrashCheck = { verdict: "left", detail: "it was leaving" };

/** Result of one health check; undefined if the server has to be checked again. */
const classifyPresence = (
  presence: ServerPresence | undefined,
): CrashCheck | undefined => {
  if (!presence) return NOT_ASKED;
  if (presence.kind === "present") return LIVES;
  const { cause, detail } = presence;
  return cause === "ended" ? { verdict: "ended", detail } : undefined;
};

/** Creates the detector. */
export const createCrashDetector = (options: CrashDetectorOptions): CrashDetector => {
  const { clock, ask, isLeaving } = options;
  const checks = new Map<ServerId, Promise<CrashCheck>>();

  const askRepeatedly = async (server: BackendServer): Promise<CrashCheck> => {
    let detail = "";
    for (let asked = 0; asked < MAX_ASKED; asked += 1) {
      if (asked > 0) await waitFor(clock, ASK_PAUSE_MS);
      const presence = await ask(server);
      const result = classifyPresence(presence);
      if (result) return result;
      detail = presence?.kind === "absent" ? presence.detail : "";
    }
    return { verdict: "not_known", detail };
  };

  /** Requests wait for the verdict, so a check that throws has one as well. */
  const askUntilAnswered = async (server: BackendServer): Promise<CrashCheck> => {
    try {
      return await askRepeatedly(server);
    } catch (error) {
      return { verdict: "not_known", detail: describeFault(error) };
    }
  };

  const checkOnce = async (server: BackendServer): Promise<CrashCheck> => {
    const { id } = server.entry;
    const result = await askUntilAnswered(server);
    const forgetCheck = () => void checks.delete(id);
    if (result.verdict === "ended") clock.setTimer(ENDED_MEMORY_MS, forgetCheck);
    else forgetCheck();
    return result;
  };

  return {
    check: (server) => {
      const { id } = server.entry;
      const known = checks.get(id);
      if (known) return known;
      if (isLeaving(server)) return Promise.resolve(LEFT);
      const result = checkOnce(server);
      checks.set(id, result);
      return result;
    },
  };
};
