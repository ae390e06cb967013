/**
 * Keeps one request from servers while servers end under it. A request may end each server that begins to run it, with all
 * streams aboard: of six engines all six within 1.4 s, where each try went to a second server and each client came again.
 */
import { waitFor, type Ms } from "@stairgauge/common";
import {
  ENDS_TO_STOP_REPEATS,
  mayHaveEnded,
  type BrokenRun,
  type RequestDigest,
} from "@stairgauge/crashes";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { Attempt } from "./attempt.js";
import { createDigest } from "./createDigest.js";
import type { AdmittedRequest, DispatchDeps } from "./forwarderTypes.js";
import type { ServerEnd } from "./serverEnds.js";

/** How long a stream that could go on elsewhere waits to hear what became of its server; one that ended refuses within some ms. */
const VERDICT_WAIT_MS = 300 as Ms;

/** What became of a server under a request, for the log. */
export type BrokenAttempt = ServerEnd &
  BrokenRun &
  Readonly<{ digest: RequestDigest; aboard: number }>;

/** What guarding a request needs. */
export type GuardCallOptions = Readonly<{
  deps: Pick<DispatchDeps, "clock" | "placer" | "guard" | "serverEnds">;
  request: AdmittedRequest;
  /** Events that the client has. */
  countEvents: () => number;
  tellBroke: (server: BackendServer, broken: BrokenAttempt) => void;
}>;

/** The guard of one request. */
export type CallGuard = Readonly<{
  /** How much longer the request goes to no server; undefined while it may. */
  findBlock: () => Ms | undefined;
  /** Whether this box may send the request on by itself, once one or more attempts have failed. */
  mayRepeat: () => boolean;
  /** The same for a stream whose server has just broken it off, once it is known whether that has ended. */
  mayGoOn: (left: BackendServer) => Promise<boolean>;
  /** The server broke the attempt off. */
  onBroken: (attempt: Attempt) => void;
  onServed: () => void;
}>;

/** Creates the guard. */
export const createCallGuard = (options: GuardCallOptions): CallGuard => {
  const { deps, request, countEvents, tellBroke } = options;
  const { clock, placer, guard, serverEnds } = deps;
  const getDigest = createDigest(request);
  /** Servers that broke the request off, and that are not known to live. */
  const brokeOff = new Set<ServerId>();

  const findBlock = () => {
    const standing = guard.getStatus(getDigest);
    return standing.kind === "blocked" ? standing.left : undefined;
  };
  const mayRepeat = () => {
    const standing = guard.getStatus(getDigest, brokeOff);
    return standing.kind === "unsuspected" || standing.ends < ENDS_TO_STOP_REPEATS;
  };

  const measureRun = ({ answeredAt, eventsBefore }: Attempt): BrokenRun => ({
    ranFor:
      answeredAt === undefined ? undefined : ((clock.monotonic() - answeredAt) as Ms),
    events: countEvents() - eventsBefore,
  });
  const judgeBroken = async (server: BackendServer, run: BrokenRun) => {
    const { id } = server.entry;
    const aboard = placer.countAboard(server);
    const end = await serverEnds.judge(server);
    const digest = getDigest();
    if (end.verdict !== "ended") brokeOff.delete(id);
    else if (mayHaveEnded(run)) guard.recordCrash({ digest, server: id });
    tellBroke(server, { ...end, ...run, digest, aboard });
  };

  return {
    findBlock,
    mayRepeat,
    mayGoOn: async (left) => {
      if (mayRepeat()) return true;
      await Promise.race([serverEnds.judge(left), waitFor(clock, VERDICT_WAIT_MS)]);
      return mayRepeat();
    },
    onBroken: (attempt) => {
      const { server } = attempt;
      const run = measureRun(attempt);
      if (mayHaveEnded(run)) brokeOff.add(server.entry.id);
      void judgeBroken(server, run);
    },
    onServed: () => guard.recordServed(getDigest),
  };
};
