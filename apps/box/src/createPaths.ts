/**
 * Creates the ways from a box to the backend servers: its own paths, the boxes that carry its requests
 * where a path is lost, and what it carries for other boxes.
 */
import type { Clock, Dialer, Ms, Random, Timer } from "@stairgauge/common";
import type { ServerDirectory } from "@stairgauge/directory";
import type { FleetPlacer } from "@stairgauge/fleet";
import {
  createCarryForOthers,
  createServerExchanges,
  openExchange,
  probePath,
  type AnswerExcess,
  type OpenOwnExchange,
  type ServerExchanges,
  type SmallPieces,
} from "@stairgauge/forwarding";
import {
  createCarriers,
  createCarryBounds,
  createServerPaths,
  type AnswerCarry,
  type ServerPaths,
} from "@stairgauge/paths";
import { createHeadCodec, type EngineActionsOptions } from "@stairgauge/platform";
import type { ReadTurns } from "@stairgauge/saturation";
import type { BoxSettings } from "@stairgauge/settings";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import { computeSettingsLimits } from "./computeSettingsLimits.js";
import type { Knowledge } from "./createKnowledge.js";
import type { Peers } from "./createPeers.js";
import { observePaths } from "./observePaths.js";

export type PathsOptions = Readonly<{
  settings: Pick<BoxSettings, "carrying" | "clients" | "limits">;
  clock: Clock;
  random: Random;
  log: DecisionLog;
  metrics: BoxMetrics;
  dialServer: Dialer | undefined;
  /** Divides the time for reading among connections of clients and servers. */
  turns: ReadTurns;
  peers: Readonly<{ links: Pick<Peers["links"], "carriers"> }>;
  findService: Knowledge["findService"];
  /** Whether this box has the processor time to carry one more request. */
  hasRoom: () => boolean;
  /** Parts that need the paths themselves, and so are created later. */
  getParts: () => Readonly<{
    directory: Pick<ServerDirectory, "find" | "list">;
    placer: Pick<FleetPlacer, "isLeaving" | "takeAsk">;
  }>;
}>;

/** The ways of one box. */
export type Paths = Readonly<{
  paths: ServerPaths;
  exchanges: ServerExchanges;
  answerCarry: AnswerCarry;
  /** Returns the way to the engine at an address whose path is lost. */
  findCarriedWay: NonNullable<EngineActionsOptions["findCarriedWay"]>;
  /** Number of requests that this box carries for others. */
  countCarried: () => number;
  /** Carries nothing more for others. */
  announceStop: () => void;
  /** Ends what it carries for others, so that the asking boxes answer. */
  endCarried: () => void;
  stop: () => void;
}>;

/** Interval at which lost paths are checked for being due for a probe. */
const CHECK_MS = 100 as Ms;

/** Creates the ways; all paths are intact. */
export const createPaths = (options: PathsOptions): Paths => {
  const { settings, clock, random, log, metrics, dialServer, turns, getParts } = options;
  const { carriers: carrierLinks } = options.peers.links;
  const connectLimit = settings.clients.connectLimitMs as Ms;
  const bounds = createCarryBounds({
    maxRequests: Math.floor(
      settings.limits.descriptors * settings.carrying.descriptorShare,
    ),
    maxHeldBytes: computeSettingsLimits(settings).carried,
  });
  const codec = createHeadCodec();
  const openOwn: OpenOwnExchange = (request, sink) => {
    const { host, port } = request.address;
    const onExcess = (excess: AnswerExcess) =>
      observer.onAnswerOverLimit(`${host}:${port}`, excess);
    const onUnsendable = (detail: string) =>
      observer.onUnsendable(`${host}:${port}`, detail);
    const onSmallPieces = (pieces: SmallPieces) =>
      observer.onSmallPieces(`${host}:${port}`, pieces);
    const own = {
      ...request,
      dial: dialServer,
      turns,
      onExcess,
      onSmallPieces,
      onUnsendable,
    };
    return openExchange(clock, own, sink);
  };
  let isStopping = false;
  let probeTimer: Timer | undefined;

  const observer = observePaths({
    log,
    metrics,
    countLost: () => paths.listLost().length,
  });
  const paths = createServerPaths({
    clock,
    random,
    onEvent: (event) => {
      observer.onPathEvent(event);
      scheduleProbes();
    },
  });
  const carriers = createCarriers({ clock, random, ...carrierLinks });

  const probe = async (server: ReturnType<ServerDirectory["list"]>[number]) => {
    const { entry } = server;
    if (!getParts().placer.takeAsk(server)) return;
    const healthPath = options.findService(entry.service)?.healthPath;
    const request = { clock, codec, entry, healthPath, connectLimit, openOwn };
    const isReached = await probePath(request);
    if (isReached !== undefined) paths.recordProbe(entry, isReached);
  };
  const sendProbes = () => {
    probeTimer = undefined;
    try {
      sendDueProbes();
    } finally {
      scheduleProbes();
    }
  };
  const sendDueProbes = () => {
    exchanges.breakSilent();
    const staying = getParts()
      .directory.list()
      .filter(({ leaving }) => leaving === undefined);
    const due = new Set(paths.takeProbes(staying.map(({ entry }) => entry)));
    for (const server of staying) if (due.has(server.entry.id)) void probe(server);
  };
  const scheduleProbes = () => {
    if (isStopping || probeTimer || !paths.needsProbes()) return;
    probeTimer = clock.setTimer(CHECK_MS, sendProbes);
  };

  const carryForOthers = createCarryForOthers({
    clock,
    bounds,
    paths,
    findServer: (id) => getParts().directory.find(id),
    isLeaving: (server) => getParts().placer.isLeaving(server),
    isStopping: () => isStopping,
    hasRoom: options.hasRoom,
    connectLimit,
    openOwn,
  });

  const exchanges = createServerExchanges({
    clock,
    openOwn,
    paths,
    carriers,
    callCarrier: carrierLinks.call,
    onEvent: observer.onCarryEvent,
  });

  return {
    paths,
    exchanges,
    findCarriedWay: ({ host, port }) => {
      const server = getParts()
        .directory.list()
        .find(
          ({ entry }) =>
            entry.address.host === host &&
            entry.address.port === port &&
            paths.isLost(entry.id),
        );
      if (!server) return undefined;
      return (build, sink) => exchanges.open({ server, isNewWork: false, build, sink });
    },
    answerCarry: (question, answer) => {
      const handlers = carryForOthers.answerCarry(question, answer);
      metrics.carriedForOthers.set(bounds.count());
      return handlers;
    },
    countCarried: bounds.count,
    announceStop: () => {
      isStopping = true;
    },
    endCarried: () => {
      const requests = bounds.count();
      if (requests > 0) log.writeNotice("carried_ended", { requests });
      carryForOthers.endAll();
      metrics.carriedForOthers.set(bounds.count());
    },
    stop: () => {
      isStopping = true;
      probeTimer?.cancel();
    },
  };
};
