/**
 * Blocks a request under which servers crash. Such a request may crash every server that starts to run
 * it, with all other streams there: with one retry per request and clients that retry as well, all six
 * engines of a service crashed within 1.4 s.
 */
import { waitForLimit, type Ms } from "@stairgauge/common";
import {
  MAX_FATAL_EVENTS,
  mayHaveCrashedServer,
  type FoundBlock,
  type InterruptedRun,
  type RequestDigest,
} from "@stairgauge/crashes";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { Attempt } from "./attempt.js";
import { createSuspects } from "./createSuspects.js";
import type { AdmittedRequest } from "./admittedRequest.js";
import type { DispatchDeps } from "./forwarderTypes.js";
import type { CrashCheck } from "./crashDetector.js";

/**
 * How long a stream that could continue elsewhere waits for the check of its previous server. The
 * address of a crashed server refuses connections within a few milliseconds.
 */
const VERDICT_WAIT_MS = 300 as Ms;

/** How long other boxes are not told of a broken connection while the check of its server lasts. */
const CHECK_WAIT_MS = 1_000 as Ms;

/** A broken attempt and the state of its server, for the log. */
export type BrokenAttempt = CrashCheck &
  InterruptedRun &
  Readonly<{
    digest: RequestDigest;
    /** Ids of the parts of the prompt that are suspects. */
    parts: readonly string[];
    aboard: number;
  }>;

/** Options of the guard. */
export type GuardCallOptions = Readonly<{
  deps: Pick<DispatchDeps, "clock" | "placer" | "guard" | "crashDetector">;
  request: AdmittedRequest;
  /** Number of events that the client has received. */
  countEvents: () => number;
  reportBroken: (server: BackendServer, broken: BrokenAttempt) => void;
}>;

/** The guard of one request. */
export type CallGuard = Readonly<{
  /** Why and for how long the request is blocked; undefined if it is not. */
  findBlock: () => FoundBlock | undefined;
  /** Whether the box may send the request to another server after failed attempts. */
  mayRepeat: () => boolean;
  /** Like `mayRepeat`, for a stream whose server just broke it off; waits for the check of that server. */
  mayContinue: (previous: BackendServer) => Promise<boolean>;
  /** The server broke the connection of the attempt. */
  onBroken: (attempt: Attempt) => void;
  /** Resolves once the check of a server that broke a connection has a result, or takes too long. */
  awaitCheck: (server: BackendServer) => Promise<unknown>;
  /** The server has sent events of the attempt. */
  onProgress: (attempt: Attempt) => void;
  /** The server has completed the request. */
  onServed: (attempt: Attempt) => void;
}>;

/** Creates the guard. */
export const createCallGuard = (options: GuardCallOptions): CallGuard => {
  const { deps, request, countEvents, reportBroken } = options;
  const { clock, placer, guard, crashDetector } = deps;
  const suspects = createSuspects(request);
  const getDigest = () => suspects.listAll()[0].digest;
  /** Servers that broke the request off and are not known to be alive. */
  const suspectedServers = new Set<ServerId>();

  /** The attempt whose server is known to have survived the parts of the prompt. */
  let survivedAttempt: Attempt | undefined;

  const mayRepeat = () => guard.mayResend(suspects.listAll, suspectedServers);

  const recordSurvived = (attempt: Attempt) => {
    if (survivedAttempt === attempt) return;
    survivedAttempt = attempt;
    const { server, openedAt: begunAt } = attempt;
    const parts = suspects.listParts();
    guard.recordSurvived({ parts, server: server.entry.id, begunAt });
  };

  const measureRun = ({ answeredAt, eventsBefore }: Attempt): InterruptedRun => ({
    ranFor:
      answeredAt === undefined ? undefined : ((clock.monotonic() - answeredAt) as Ms),
    events: countEvents() - eventsBefore,
  });
  const checkBroken = async (server: BackendServer, run: InterruptedRun) => {
    const { id } = server.entry;
    const aboard = placer.countRequestsAt(server);
    const end = await crashDetector.check(server);
    const parts = suspects.listParts().map(({ part }) => part);
    if (end.verdict !== "ended") suspectedServers.delete(id);
    else if (mayHaveCrashedServer(run))
      for (const suspect of suspects.listAll())
        guard.recordCrash({ ...suspect, server: id });
    reportBroken(server, { ...end, ...run, digest: getDigest(), parts, aboard });
  };

  const awaitCheckFor = (server: BackendServer, limit: Ms) =>
    Promise.race([crashDetector.check(server), waitForLimit(clock, limit)]);

  return {
    findBlock: () => guard.findBlock(suspects.listAll),
    mayRepeat,
    mayContinue: async (previous) => {
      if (mayRepeat()) return true;
      await awaitCheckFor(previous, VERDICT_WAIT_MS);
      return mayRepeat();
    },
    onBroken: (attempt) => {
      const { server } = attempt;
      const run = measureRun(attempt);
      if (mayHaveCrashedServer(run)) suspectedServers.add(server.entry.id);
      void checkBroken(server, run);
    },
    awaitCheck: (server) => awaitCheckFor(server, CHECK_WAIT_MS),
    onProgress: (attempt) => {
      if (countEvents() - attempt.eventsBefore > MAX_FATAL_EVENTS)
        recordSurvived(attempt);
    },
    onServed: (attempt) => {
      recordSurvived(attempt);
      guard.recordServed(getDigest);
    },
  };
};
