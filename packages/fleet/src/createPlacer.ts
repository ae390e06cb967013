/**
 * Places requests by the server directory and the load registry, and records the placements there.
 */
import type {
  Clock,
  DataHallName,
  Ms,
  Random,
  RegionName,
  ServiceName,
} from "@stairgauge/common";
import type { BackendServer, ServerDirectory, ServerId } from "@stairgauge/directory";
import type { ActiveRun, Placer, RequestHead } from "@stairgauge/forwarding";
import type { ServerLimits } from "@stairgauge/limits";
import type { ServerBackoffs } from "@stairgauge/backoffs";
import type { PaceReader } from "@stairgauge/pace";
import {
  chooseServer,
  deriveBinding,
  fitsBinding,
  estimateEngineLoad,
  type Demand,
  type EngineWay,
  mayConnect,
  toCopyId,
  type LoadRegistry,
  type MoveTarget,
  type PlacementDecision,
  type PlacementLimit,
  type CompetingRate,
  type ConnectionBounds,
} from "@stairgauge/placement";
import type { ColdLimits } from "./coldLimits.js";
import type { ColdPeriods } from "./coldPeriods.js";
import { explainNoServer } from "./explainNoServer.js";
import { getServerStatus } from "./getServerStatus.js";
import { createPlainRuns } from "./plainRuns.js";
import { createRunIds } from "./runIds.js";
import { createServerFaults, type ServerFaultsOptions } from "./serverFaults.js";

/** What placement uses of the limits that servers name. */
export type PlacingLimits = Pick<
  ServerLimits,
  "findAllowance" | "isLimited" | "recordArrival" | "recordSent" | "filter"
>;

/** What placement uses of the backoffs that servers have asked this box for. */
export type PlacingBackoffs = Pick<
  ServerBackoffs,
  "computeRetryAfter" | "isBackingOff" | "mayReceive" | "takeDuringBackoff"
>;

/** Dependencies of the placer. */
export type PlacerOptions = Readonly<{
  clock: Clock;
  random: Random;
  ownHall: DataHallName;
  /** Policy for choosing the engine of a generation. */
  way: EngineWay;
  findRegion: (hall: DataHallName) => RegionName | undefined;
  directory: ServerDirectory;
  registry: LoadRegistry;
  /** Returns the bounds on the connections that one server of a service accepts from all callers. */
  getConnectionBounds: (service: ServiceName) => ConnectionBounds;
  /** Whether the records of the other boxes' generations are complete, so that connections can be shared by need. */
  hasFleetRecords: (service: ServiceName) => boolean;
  competingRate: Pick<CompetingRate, "estimate">;
  /** Service times of the servers; without them, all count as equally fast. */
  pace?: PaceReader | undefined;
  /** Returns the longest gap between events that the routes allow. */
  getGapTarget?: (() => Ms | undefined) | undefined;
  cold: Pick<ColdLimits, "mayTake" | "record">;
  coldPeriods: Pick<ColdPeriods, "mayBeCold" | "onUnreachable">;
  limits: PlacingLimits;
  backoffs: PlacingBackoffs;
  isAlive: (server: BackendServer) => Promise<boolean>;
  /**
   * Whether plain requests of the service are recorded as runs, so that other boxes know them; by
   * default none are.
   */
  isContended?: ((service: ServiceName) => boolean) | undefined;
}> &
  Pick<ServerFaultsOptions, "onBroken" | "onUnreachable">;

/** Conditions of a server with a free slot, by the records of all boxes. */
export type RoomTerms = Readonly<{
  hasRoom: (server: BackendServer) => boolean;
  /** Number of requests at a server, by which the least busy one is chosen. */
  countAt: (server: ServerId) => number;
}>;

/** Places requests, and finds targets for runs that are moved. */
export type FleetPlacer = Placer &
  Readonly<{
    /**
     * Chooses a server for another box's request. Backoffs are ignored, since servers asked only
     * this box for them.
     */
    chooseForOther: Placer["choose"];
    /**
     * Chooses a server with a free slot for a plain request, of this box or another one that excepts
     * the servers it may not use; undefined if there are servers, but none has a free slot.
     */
    chooseWithRoom: (
      terms: PlacementTerms,
      owner: RequestOwner,
      room: RoomTerms,
    ) => PlacementDecision | undefined;
    /**
     * Whether this box has as many requests at all servers of a service as its part of their connections allows,
     * while more could be shared by need.
     */
    needsSharedConnections: (service: ServiceName, demand: Demand) => boolean;
    /** Whether this box's part of the connections has room for the request at some server. */
    hasOwnConnection: (terms: PlacementTerms) => boolean;
    /** Lists the servers of a service that may get no request of this box, for reasons only it knows. */
    listClosedTo: (service: ServiceName, demand: Demand) => readonly ServerId[];
    /** Id under which a request is recorded as a run. */
    getRunId: (head: RequestHead) => string;
    /** Records the open plain requests of a service as runs, once the service has become contended. */
    recordOpenRequests: (service: ServiceName) => void;
    /** Whether a server may get any new work at present. */
    mayTakeWork: (server: BackendServer) => boolean;
    /**
     * Whether a server may get a run that has begun on another one. A server with a limit accepts
     * few requests, and new requests have precedence.
     */
    mayTakeRuns: (server: BackendServer) => boolean;
    /** Records a request that another box sends to a server on this box's advice. */
    recordSend: (server: BackendServer, tier: number) => void;
    /** Whether a started run may continue at a server, by its regions and its binding. */
    fitsRun: (
      server: BackendServer,
      run: Pick<ActiveRun, "regions" | "getBinding">,
    ) => boolean;
    /**
     * Whether a server's data hall is closed to new work, including runs that were stopped there.
     */
    isHallClosed: (server: BackendServer) => boolean;
    /** Lists the engines that runs of the given engine may be moved to. */
    listTargets: (source: BackendServer) => readonly MoveTarget[];
    /**
     * Records a run at its target while it is being copied there. Returns a function that removes
     * the record.
     */
    reserve: (target: BackendServer, run: ActiveRun) => () => void;
    /** Handle another box's report that a server has broken off a request, or has answered one. */
    handleBroken: (server: ServerId) => void;
    handleAnswered: (server: ServerId) => void;
    /** Drops what is on record of a server that the directory has removed. */
    forget: (server: ServerId) => void;
  }>;

/** A request to be placed, and the servers it has already tried. */
export type PlacementTerms = Readonly<{
  service: ServiceName;
  demand: Demand;
  except: ReadonlySet<ServerId>;
}>;

/** Whether the request is this box's own, or that of another box that asked for advice. */
export type RequestOwner = "own" | "other";

/** Whether a server is leaving. One that the directory no longer lists left long ago. */
const isLeaving = (directory: ServerDirectory, server: BackendServer): boolean => {
  const known = directory.find(server.entry.id);
  return !known || known.leaving !== undefined;
};

/** The connections of a request that the admitting box places are bounded by the slots of the servers. */
const allowAny = () => true;

export const createPlacer = (options: PlacerOptions): FleetPlacer => {
  const {
    clock,
    random,
    ownHall,
    directory,
    registry,
    cold,
    coldPeriods,
    limits,
    backoffs,
  } = options;
  const { getRunId } = createRunIds();
  const { isContended = () => false } = options;
  const plainRuns = createPlainRuns({
    registry,
    isContended,
    isListed: (server) => directory.find(server) !== undefined,
  });
  const faults = createServerFaults({ ...options, clock, registry, coldPeriods });
  /** A data hall of unknown region is in none of the given regions. */
  const isInRegions = ({ entry }: BackendServer, regions: Demand["regions"]) => {
    if (!regions) return true;
    const region = options.findRegion(entry.dataHall);
    return region !== undefined && regions.includes(region);
  };

  /** Whether the server fits by its entry now: it may have changed since the server was chosen. */
  const isBound = (server: BackendServer, binding: Demand["binding"]) =>
    fitsBinding(directory.find(server.entry.id) ?? server, binding);
  const getBinding: FleetPlacer["getBinding"] = (server) =>
    deriveBinding(server, directory.find(server.entry.id));
  const isAllowed = (server: BackendServer, { regions, binding }: Demand) =>
    isInRegions(server, regions) && fitsBinding(server, binding);

  const isAvailable = ({ entry }: BackendServer) =>
    backoffs.mayReceive(entry.id, registry.countOpen(entry.id));

  /** Whether this box has a connection for one more request, by its own part or by the records of all boxes. */
  const createConnectionCheck = (service: ServiceName, demand: Demand) => {
    const bounds = options.getConnectionBounds(service);
    // Requests of open plain services are on record at their own box only.
    if (demand.tokens === undefined) {
      // The rest is shared by the admitting box once some box has used up its part.
      const part = isContended(service) ? bounds.own : bounds.plain;
      return ({ entry }: BackendServer) => registry.countOpen(entry.id) < part;
    }
    const isKnown = options.hasFleetRecords(service);
    return ({ entry: { id } }: BackendServer) =>
      mayConnect(bounds, {
        own: registry.countOpen(id),
        ofOthers: isKnown ? registry.countPeerRuns(id) : undefined,
      });
  };

  /**
   * Lists the servers that a request may be sent to, with what remained after each filter step; `hasConnection` tells
   * at which servers there is a connection for it.
   */
  const listCandidates = (
    { service, demand, except }: PlacementTerms,
    owner: RequestOwner,
    hasConnection = createConnectionCheck(service, demand),
  ) => {
    const ready = directory
      .listReady(service)
      .filter((server) => isAllowed(server, demand));
    const untried = ready.filter(({ entry }) => !except.has(entry.id));
    const connectable = untried.filter(hasConnection);
    const warm = connectable.filter(({ entry }) => cold.mayTake(entry.id, service));
    const available = owner === "own" ? warm.filter(isAvailable) : warm;
    const filtered = limits.filter({ service, tier: demand.tier }, available);
    return { ready, untried, connectable, warm, available, filtered };
  };
  const toPlacementLimit = ({ entry }: BackendServer): PlacementLimit | undefined => {
    const allowance = limits.findAllowance(entry);
    if (!allowance) return undefined;
    const { perSecond, part, used } = allowance;
    return { perSecond, part, used };
  };
  const refuseAll = (
    { service, demand }: PlacementTerms,
    candidates: ReturnType<typeof listCandidates>,
  ): PlacementDecision => {
    const { ready, untried, connectable, warm, available, filtered } = candidates;
    const counts = {
      ready: ready.length,
      untried: untried.length,
      connectable: connectable.length,
      warm: warm.length,
      available: available.length,
    };
    const staying = directory.listStaying(service);
    const inRegions = staying.filter((server) => isInRegions(server, demand.regions));
    const reason = explainNoServer(counts, {
      staying: staying.length,
      inRegions: inRegions.length,
      bound: inRegions.filter((server) => fitsBinding(server, demand.binding)).length,
    });
    const retryAfter =
      reason === "servers_resting"
        ? backoffs.computeRetryAfter(warm.map(({ entry }) => entry.id))
        : filtered.retryAfter;
    return { kind: "no_server", reason, known: ready.length, retryAfter };
  };
  const chooseFor = (terms: PlacementTerms, owner: RequestOwner): PlacementDecision => {
    const candidates = listCandidates(terms, owner);
    const now = clock.monotonic();
    const decision = chooseServer({
      candidates: faults.filter(candidates.filtered.open),
      demand: terms.demand,
      registry,
      ownHall,
      way: options.way,
      expectedCompetitors: options.competingRate.estimate(now),
      pace: options.pace,
      gapTarget: options.getGapTarget?.(),
      now,
      random,
    });
    if (decision.kind === "no_server") return refuseAll(terms, candidates);
    const resting = candidates.warm.length - candidates.available.length;
    return {
      ...decision,
      resting: resting > 0 ? resting : undefined,
      limited: toPlacementLimit(decision.server),
    };
  };
  /** Servers that any box's plain request may be sent to: limits and backoffs are each box's own. */
  const listForPlain = ({ service, demand, except }: PlacementTerms) =>
    directory
      .listReady(service)
      .filter((server) => isAllowed(server, demand) && !except.has(server.entry.id));
  const chooseWithRoom: FleetPlacer["chooseWithRoom"] = (terms, owner, room) => {
    const now = clock.monotonic();
    const ownCandidates =
      owner === "own" ? listCandidates(terms, owner, allowAny) : undefined;
    const open = ownCandidates?.filtered.open ?? listForPlain(terms);
    if (open.length === 0)
      return refuseAll(terms, ownCandidates ?? listCandidates(terms, owner, allowAny));
    const { plain, shared } = options.getConnectionBounds(terms.service);
    const maxConnections = Math.max(plain, shared);
    const candidates = faults
      .filter(open)
      .filter(room.hasRoom)
      .filter(({ entry }) => room.countAt(entry.id) < maxConnections);
    if (candidates.length === 0) return undefined;
    return chooseServer({
      candidates,
      demand: terms.demand,
      registry,
      countAt: room.countAt,
      ownHall,
      way: options.way,
      expectedCompetitors: 0,
      now,
      pace: options.pace,
      random,
    });
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
      const isTaken = backoffs.takeDuringBackoff(entry.id);
      if (isTaken) limits.recordSent(entry, undefined);
      return isTaken;
    },
    getBinding,
    takeContinuation: (server, binding) =>
      isBound(server, binding) && backoffs.takeDuringBackoff(server.entry.id),
    place: (server, head, demand) => {
      const { id } = server.entry;
      const runId = getRunId(head);
      registry.addOpen(id);
      recordSend(server, demand.tier);
      if (demand.tokens)
        registry.addRun(id, {
          id: runId,
          promptTokens: demand.tokens.prompt,
          expectedOut: demand.tokens.expectedOut,
          hasBegun: false,
          isMovable: demand.tokens.isMovable,
        });
      else plainRuns.add(server, runId);
      let isReleased = false;
      return () => {
        if (isReleased) return;
        isReleased = true;
        registry.removeOpen(id);
        if (demand.tokens) registry.removeRun(id, runId);
        else plainRuns.remove(server, runId);
      };
    },
    chooseWithRoom,
    needsSharedConnections: (service, demand) => {
      const { plain, shared } = options.getConnectionBounds(service);
      if (plain >= shared) return false;
      const ready = directory.listReady(service);
      const isUsedUp = ready.every(({ entry }) => registry.countOpen(entry.id) >= plain);
      return isUsedUp && ready.some((server) => isAllowed(server, demand));
    },
    hasOwnConnection: (terms) =>
      listForPlain(terms).some(createConnectionCheck(terms.service, terms.demand)),
    listClosedTo: (service, demand) => {
      const terms = { service, demand, except: new Set<ServerId>() };
      const { ready, filtered } = listCandidates(terms, "own", allowAny);
      const open = new Set(filtered.open);
      return ready.filter((server) => !open.has(server)).map(({ entry }) => entry.id);
    },
    getRunId,
    recordOpenRequests: plainRuns.recordOpen,
    countRequestsAt: ({ entry }) =>
      registry.countOpen(entry.id) + registry.listPeerRuns(entry.id).length,
    isLeaving: (server) => isLeaving(directory, server),
    mayTakeWork: (server) =>
      directory.mayTakeWork(server.entry.id) && isAvailable(server),
    mayTakeRuns: ({ entry }) =>
      directory.mayTakeWork(entry.id) &&
      !limits.isLimited(entry.id) &&
      !backoffs.isBackingOff(entry.id),
    fitsRun: (server, run) =>
      isInRegions(server, run.regions) && isBound(server, run.getBinding()),
    isHallClosed: ({ entry }) => directory.isHallClosed(entry.dataHall),
    getServerStatus: ({ entry }) =>
      getServerStatus({ directory, registry }, entry.id, clock.monotonic()),
    isAlive: async (server) => {
      const answers = await options.isAlive(server);
      if (!answers) faults.recordUnreachable(server);
      return answers;
    },
    onAddressReused: (server) =>
      directory.mark(server.entry.id, "address_reused", clock.monotonic()),
    onUnreachable: faults.recordUnreachable,
    onBroken: faults.recordBroken,
    onAnswered: faults.recordAnswered,
    handleBroken: faults.handleBroken,
    handleAnswered: faults.handleAnswered,
    forget: faults.forget,
    onRunBegun: (server, head) => {
      if (head.id !== undefined) registry.markBegun(server.entry.id, head.id);
    },
    listTargets: (source) => {
      const now = clock.monotonic();
      const binding = getBinding(source);
      return directory
        .listReady(source.entry.service)
        .filter((server) => fitsBinding(server, binding))
        .filter(
          // The capacity of cold or limited servers is reserved for new requests, which cannot have
          // been placed elsewhere before.
          ({ entry }) =>
            entry.id !== source.entry.id &&
            !coldPeriods.mayBeCold(entry.id) &&
            !limits.isLimited(entry.id) &&
            !backoffs.isBackingOff(entry.id),
        )
        .map((server) => {
          const { taken, total } = estimateEngineLoad(server, registry, now);
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
      registry.addRun(id, {
        id: runId,
        promptTokens: run.getTokens(),
        expectedOut: run.getTokensLeft(),
        hasBegun: true,
        isMovable: false,
      });
      return () => registry.removeRun(id, runId);
    },
  };
};
