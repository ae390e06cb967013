/** Places requests by the directory and the load book, and keeps the book. */
import type {
  Clock,
  DataHallName,
  Random,
  RegionName,
  ServiceName,
} from "@stairgauge/common";
import type { BackendServer, ServerDirectory, ServerId } from "@stairgauge/directory";
import type { ActiveRun, Placer } from "@stairgauge/forwarding";
import type { ServerLimits } from "@stairgauge/limits";
import type { ServerBackoffs } from "@stairgauge/backoffs";
import {
  chooseServer,
  estimateEngineLoad,
  type Demand,
  type EngineWay,
  toCopyId,
  type LoadRegistry,
  type MoveTarget,
  type NoServerReason,
  type PlacementDecision,
  type PlacementLimit,
  type CompetingRate,
} from "@stairgauge/placement";
import type { ColdLimits } from "./coldLimits.js";
import type { ColdPeriods } from "./coldPeriods.js";
import { getServerStatus } from "./getServerStatus.js";
import { createSuspects } from "./suspects.js";

/** What placing asks of the limits that servers name. */
export type PlacingLimits = Pick<
  ServerLimits,
  "findAllowance" | "isLimited" | "recordArrival" | "recordSent" | "filter"
>;

/** What placing asks of the rests that servers want of this box. */
export type PlacingRests = Pick<
  ServerBackoffs,
  "computeRetryAfter" | "isResting" | "mayTake" | "takeSpared"
>;

/** What placing needs. */
export type PlacerOptions = Readonly<{
  clock: Clock;
  random: Random;
  ownHall: DataHallName;
  /** How the engine for a generation is chosen. */
  way: EngineWay;
  findRegion: (hall: DataHallName) => RegionName | undefined;
  directory: ServerDirectory;
  book: LoadRegistry;
  /** This box's part of the connections that one server of a service takes from all callers. */
  getConnectionShare: (service: ServiceName) => number;
  rivals: Pick<CompetingRate, "estimate">;
  cold: Pick<ColdLimits, "mayTake" | "record">;
  spells: Pick<ColdPeriods, "mayBeCold" | "onUnreachable">;
  limits: PlacingLimits;
  rests: PlacingRests;
  /** A server broke a request of this box off before it answered. */
  onBroken: (server: ServerId) => void;
  isAlive: (server: BackendServer) => Promise<boolean>;
}>;

/** Places requests, and finds targets for runs that move. */
export type FleetPlacer = Placer &
  Readonly<{
    /** Chooses for another box, of which no server that rests has turned this one away. */
    chooseForOther: Placer["choose"];
    /** Whether a server may be sent anything new, as known now. */
    mayTakeWork: (server: BackendServer) => boolean;
    /** Whether a server may be sent a run that has begun elsewhere: one in need takes few requests, and newcomers go first. */
    mayTakeRuns: (server: BackendServer) => boolean;
    /** Notes a request that another box sends to a server by this one's advice. */
    recordSend: (server: BackendServer, tier: number) => void;
    /** Whether a server stands in one of the regions; in any where none are given. */
    isInRegions: (
      server: BackendServer,
      regions: readonly RegionName[] | undefined,
    ) => boolean;
    /** Whether a server's data hall is closed to new work, its stopped runs included. */
    isHallClosed: (server: BackendServer) => boolean;
    /** Engines that may take runs of the one given. */
    listTargets: (source: BackendServer) => readonly MoveTarget[];
    /** Notes a run at its target while it is being copied there. */
    reserve: (target: BackendServer, run: ActiveRun) => () => void;
    /** Another box tells that a server breaks requests off, or that it has answered one. */
    takeBroken: (server: ServerId) => void;
    takeAnswered: (server: ServerId) => void;
  }>;

/** What is to be placed, and which servers it has tried. */
type PlacementTerms = Readonly<{
  service: ServiceName;
  demand: Demand;
  except: ReadonlySet<ServerId>;
}>;

/** Whose request is placed: this box's own, or one of another box that asks for advice. */
type RequestOwner = "own" | "other";

/** Id under which placements without an id of the client's are kept. */
const createPlacementIds = () => {
  let next = 0;
  return () => `unnamed-${(next += 1)}`;
};

/** A server that the directory has forgotten left long ago. */
const isLeaving = (directory: ServerDirectory, server: BackendServer): boolean => {
  const known = directory.find(server.entry.id);
  return !known || known.leaving !== undefined;
};

/** Says why none of a service's servers was a candidate. */
const explainNoServer = (
  candidates: Readonly<{ ready: number; untried: number; warm: number; awake: number }>,
  known: Readonly<{ staying: number; inRegions: number }>,
): NoServerReason => {
  if (candidates.awake > 0) return "servers_limited";
  if (candidates.warm > 0) return "servers_resting";
  if (candidates.untried > 0) return "servers_cold";
  if (candidates.ready > 0) return "none_left";
  if (known.inRegions > 0) return "halls_closed";
  return known.staying > 0 ? "none_in_regions" : "none_known";
};

/** Creates the placer. */
export const createPlacer = (options: PlacerOptions): FleetPlacer => {
  const { clock, random, ownHall, directory, book, cold, spells, limits, rests } =
    options;
  const mintId = createPlacementIds();
  const suspects = createSuspects();
  /** A data hall whose region nobody has told is in none of those given. */
  const isInRegions: FleetPlacer["isInRegions"] = ({ entry }, regions) => {
    if (!regions) return true;
    const region = options.findRegion(entry.dataHall);
    return region !== undefined && regions.includes(region);
  };
  const markUnreachable = ({ entry }: BackendServer) => {
    suspects.add(entry.id, clock.monotonic());
    spells.onUnreachable(entry);
  };

  const isAwake = ({ entry }: BackendServer) =>
    rests.mayTake(entry.id, book.countOpen(entry.id));

  /** The servers that a request of this box or of another may go to, by what is left of them after each reason against one. */
  const listCandidates = (
    { service, demand, except }: PlacementTerms,
    whose: RequestOwner,
  ) => {
    const ready = directory
      .listReady(service)
      .filter((server) => isInRegions(server, demand.regions));
    const share = options.getConnectionShare(service);
    const untried = ready.filter(
      ({ entry }) => !except.has(entry.id) && book.countOpen(entry.id) < share,
    );
    const warm = untried.filter(({ entry }) => cold.mayTake(entry.id, service));
    const awake = whose === "own" ? warm.filter(isAwake) : warm;
    const sifted = limits.filter({ service, tier: demand.tier }, awake);
    return { ready, untried, warm, awake, sifted };
  };
  const toPlacementLimit = ({ entry }: BackendServer): PlacementLimit | undefined => {
    const allowance = limits.findAllowance(entry);
    if (!allowance) return undefined;
    const { perSecond, part, used } = allowance;
    return { perSecond, part, used };
  };
  const refuseAll = (
    { service, demand: { regions } }: PlacementTerms,
    candidates: ReturnType<typeof listCandidates>,
  ): PlacementDecision => {
    const { ready, untried, warm, awake, sifted } = candidates;
    const counts = {
      ready: ready.length,
      untried: untried.length,
      warm: warm.length,
      awake: awake.length,
    };
    const staying = directory.listStaying(service);
    const reason = explainNoServer(counts, {
      staying: staying.length,
      inRegions: staying.filter((server) => isInRegions(server, regions)).length,
    });
    const retryAfter =
      reason === "servers_resting"
        ? rests.computeRetryAfter(warm.map(({ entry }) => entry.id))
        : sifted.retryAfter;
    return { kind: "no_server", reason, known: ready.length, retryAfter };
  };
  const chooseFor = (terms: PlacementTerms, whose: RequestOwner): PlacementDecision => {
    const candidates = listCandidates(terms, whose);
    const now = clock.monotonic();
    const decision = chooseServer({
      candidates: suspects.passOver(candidates.sifted.open, now),
      demand: terms.demand,
      book,
      ownHall,
      way: options.way,
      rivals: options.rivals.estimate(now),
      now,
      random,
    });
    if (decision.kind === "no_server") return refuseAll(terms, candidates);
    const resting = candidates.warm.length - candidates.awake.length;
    return {
      ...decision,
      resting: resting > 0 ? resting : undefined,
      limited: toPlacementLimit(decision.server),
    };
  };
  const recordSend = ({ entry }: BackendServer, tier: number) => {
    cold.record(entry.id);
    limits.recordSent(entry, tier);
  };

  return {
    choose: (service, demand, except) => chooseFor({ service, demand, except }, "own"),
    chooseForOther: (service, demand, except) =>
      chooseFor({ service, demand, except }, "other"),
    recordArrival: (service, tier) => limits.recordArrival({ service, tier }),
    recordSend,
    takeAsk: ({ entry }) => {
      const isTaken = rests.takeSpared(entry.id);
      if (isTaken) limits.recordSent(entry, undefined);
      return isTaken;
    },
    takeContinuation: ({ entry }) => rests.takeSpared(entry.id),
    place: (server, head, demand) => {
      const { id } = server.entry;
      const runId = head.id ?? mintId();
      book.addOpen(id);
      recordSend(server, demand.tier);
      if (demand.tokens)
        book.addRun(id, {
          id: runId,
          promptTokens: demand.tokens.prompt,
          expectedOut: demand.tokens.expectedOut,
          hasBegun: false,
          isMovable: demand.tokens.isMovable,
        });
      let isReleased = false;
      return () => {
        if (isReleased) return;
        isReleased = true;
        book.removeOpen(id);
        book.removeRun(id, runId);
      };
    },
    countAboard: ({ entry }) =>
      book.countOpen(entry.id) + book.listPeerRuns(entry.id).length,
    isLeaving: (server) => isLeaving(directory, server),
    mayTakeWork: (server) => directory.mayTakeWork(server.entry.id) && isAwake(server),
    mayTakeRuns: ({ entry }) =>
      directory.mayTakeWork(entry.id) &&
      !limits.isLimited(entry.id) &&
      !rests.isResting(entry.id),
    isInRegions,
    isHallClosed: ({ entry }) => directory.isHallClosed(entry.dataHall),
    getServerStatus: ({ entry }) =>
      getServerStatus({ directory, book }, entry.id, clock.monotonic()),
    isAlive: async (server) => {
      const answers = await options.isAlive(server);
      if (!answers) markUnreachable(server);
      return answers;
    },
    onAddressReused: (server) =>
      directory.mark(server.entry.id, "address_reused", clock.monotonic()),
    onUnreachable: markUnreachable,
    onBroken: ({ entry }) => {
      suspects.addBreak(entry.id, clock.monotonic());
      options.onBroken(entry.id);
    },
    onAnswered: ({ entry }) => suspects.removeBreaks(entry.id),
    takeBroken: (server) => suspects.addBreak(server, clock.monotonic()),
    takeAnswered: suspects.removeBreaks,
    onRunBegun: (server, head) => {
      if (head.id !== undefined) book.markBegun(server.entry.id, head.id);
    },
    listTargets: (source) => {
      const now = clock.monotonic();
      return directory
        .listReady(source.entry.service)
        .filter(
          // What a cold server bears, or one in need takes, goes to newcomers, which cannot have been placed elsewhere before.
          ({ entry }) =>
            entry.id !== source.entry.id &&
            !spells.mayBeCold(entry.id) &&
            !limits.isLimited(entry.id) &&
            !rests.isResting(entry.id),
        )
        .map((server) => {
          const { taken, total } = estimateEngineLoad(server, book, now);
          return {
            server: server.entry.id,
            takenTokens: taken,
            totalTokens: total,
            isNear: server.entry.dataHall === source.entry.dataHall,
          };
        });
    },
    reserve: (target, run) => {
      const { id } = target.entry;
      const runId = toCopyId(run.id);
      book.addRun(id, {
        id: runId,
        promptTokens: run.getTokens(),
        expectedOut: run.getTokensLeft(),
        hasBegun: true,
        isMovable: false,
      });
      return () => book.removeRun(id, runId);
    },
  };
};
