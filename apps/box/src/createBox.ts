/** Creates a box and connects its parts. */
import {
  createSystemRandom,
  type BoxName,
  type Clock,
  type DataHallName,
  type Dialer,
  type Ms,
  type ServiceName,
} from "@stairgauge/common";
import { BLOCKED_RESTORE_RULES } from "@stairgauge/crashes";
import type { BackendServer } from "@stairgauge/directory";
import { createActiveRuns } from "@stairgauge/forwarding";
import {
  createBoxRestoreRules,
  createMembership,
  createWatchShares,
  hasHubs,
  type Peer,
} from "@stairgauge/peers";
import {
  createFleetPlaces,
  createLoadRegistry,
  createCompetingRate,
} from "@stairgauge/placement";
import { BOX_TABLE, createCallBounds, createStoreWriter } from "@stairgauge/platform";
import { createReadTurns, type LoopReading } from "@stairgauge/saturation";
import type { BoxSettings } from "@stairgauge/settings";
import { createBoxMetrics, type DecisionLog } from "@stairgauge/telemetry";
import { answerMoves, createHubs, toPlaceAnswer } from "./askHubs.js";
import type { BoxParts } from "./boxParts.js";
import { createCrashes } from "./createCrashes.js";
import { createColdServers } from "./createColdServers.js";
import { createDirectory } from "./createDirectory.js";
import { computeCapacity, createFollowedTables } from "./createFollowedTables.js";
import { createKnowledge } from "./createKnowledge.js";
import { createLifecycle, type Lifecycle } from "./createLifecycle.js";
import { createLimits } from "./createLimits.js";
import { createMoves } from "./createMoves.js";
import { createOrigins } from "./createOrigins.js";
import { createPace } from "./createPace.js";
import { createPaths } from "./createPaths.js";
import { createPeers } from "./createPeers.js";
import { createPlacing } from "./createPlacing.js";
import { createReports } from "./createReports.js";
import { createSaturation } from "./createSaturation.js";
import { createServing } from "./createServing.js";
import { createSignals } from "./createSignals.js";
import { createSinks } from "./createSinks.js";
import { createPeerAddress } from "./peerAddress.js";
import { createUpdateReceiver } from "./receiveUpdates.js";

export type { BoxPorts } from "./createLifecycle.js";

/** A box that can be started and stopped. */
export type Box = Lifecycle &
  Readonly<{ applySettings: (settings: BoxSettings) => void }>;

export type BoxOptions = Readonly<{
  settings: BoxSettings;
  clock: Clock;
  log: DecisionLog;
  /** Opens connections to backend servers; over TCP if undefined. */
  dialServer?: Dialer | undefined;
  /** Reads what this box's event loop has used; the process's own if undefined. */
  readLoop?: (() => LoopReading) | undefined;
}>;

/** Creates a box from its settings; it neither listens nor connects before `start`. */
export const createBox = (options: BoxOptions): Box => {
  const { settings: first, clock, log, dialServer } = options;
  let settings = first;
  let maxBoxesSeen = 0;
  const random = createSystemRandom();
  const metrics = createBoxMetrics();
  const callBounds = createCallBounds(clock);
  const knowledge = createKnowledge(settings, clock);
  const { agingClock, holder, findService, isEngineService, isOutOfTouch } = knowledge;
  const own = settings.box as BoxName;
  const dataHall = settings.dataHall as DataHallName;
  const member = { box: own, capacity: computeCapacity(settings), dataHall };
  const getParts = () => parts;
  const isPlacedByHubs = (service: ServiceName) =>
    hasHubs(links.countBoxes()) && isEngineService(service);

  const registry = createLoadRegistry(
    (change) => {
      reporter.recordChange(change);
      pace.onRunChange(change);
      if (!change.run) getParts().capacity.onEnded(change.server);
    },
    (change) => pace.onRunChange(change),
  );
  const competing = createCompetingRate();
  const updates = createUpdateReceiver({
    clock,
    registry,
    competing,
    getParts,
    isOutOfTouch,
  });
  const peers = createPeers({
    settings,
    clock,
    random,
    log,
    metrics,
    member,
    registry,
    updates,
    getParts,
    answerTable: (question) => getParts().followedTables.answer(question),
    answerPlace: async (question, signal) =>
      toPlaceAnswer(await getParts().placeHub.answer(question, signal)),
    answerMoves: (question) => {
      const { directory, planner } = getParts();
      return answerMoves(directory, planner, question);
    },
    answerCarry: (...asked) => getParts().paths.answerCarry(...asked),
  });
  const { reporter, links, peerServer } = peers;
  const pace = createPace({ clock, log, metrics, peers, getParts });
  const { meter, intake } = createSaturation({
    clock,
    log,
    metrics,
    countOpen: () =>
      getParts().clientServer.countUnused() + getParts().forwarder.countOpen(),
    readBacklog: () => getParts().clientServer.readBacklog(),
    readLoop: options.readLoop,
  });
  const turns = createReadTurns({ clock, scheduleTurnEnd: setImmediate });
  const paths = createPaths({
    settings,
    clock,
    turns,
    random,
    log,
    metrics,
    dialServer,
    peers,
    findService,
    hasRoom: intake.hasRoom,
    getParts,
  });
  const crashes = createCrashes({
    settings,
    clock,
    log,
    metrics,
    peers,
    callBounds,
    onBlocked: () => getParts().forwarder.stopBlocked(),
  });
  const origins = createOrigins({
    settings,
    clock,
    log,
    metrics,
    knowledge,
    peers,
    callBounds,
    getParts,
  });
  const places = createFleetPlaces(clock);
  const cold = createColdServers({
    settings,
    clock,
    holder,
    getParts,
    places,
    isPlacedByHubs,
  });
  const limits = createLimits({
    clock,
    log,
    metrics,
    places,
    isPlacedByHubs,
    peers,
    getParts,
  });
  const signals = createSignals({
    clock,
    random,
    log,
    metrics,
    dialServer,
    findCarriedWay: paths.findCarriedWay,
    callBounds,
    getParts,
    limits,
    periods: cold.periods,
    onClosingAnnounced: (server) => {
      if (!server.leaving && isEngineService(server.entry.service))
        void getParts().reports.ask(server);
    },
  });
  const { backoffs, actions } = signals;
  const reportPassedOver = (box: BoxName) =>
    log.writeDecision("hub_passed_over", { peer: box });
  const hubs = createHubs({
    clock: agingClock,
    own,
    links,
    findServer: (id) => directory.find(id),
    mayTakeWork: (server) => placer.mayTakeWork(server),
    listBackingOff: backoffs.listBackingOff,
    onEjected: reportPassedOver,
  });
  const peerAddress = createPeerAddress(settings.listen.peers);
  const handlePeers = (listed: readonly Peer[]) => {
    maxBoxesSeen = Math.max(maxBoxesSeen, listed.length);
    links.setPeers(listed);
    const place = links.findPlace();
    if (place) places.setPlace(place);
    origins.rows.checkSoon();
    metrics.peerLinks.set(links.count());
    log.writeNotice("peers", { boxes: listed.length, links: links.count() });
  };
  const membership = createMembership({
    clock,
    random,
    writer: createStoreWriter(settings.store.address, callBounds),
    table: BOX_TABLE,
    getOwn: () => ({ address: peerAddress.get(), ...member }),
    limit: settings.store.patienceMs as Ms,
    onPeers: handlePeers,
    onFailure: (failure) => log.writeWarning("membership", { failure }),
  });
  const runs = createActiveRuns();
  const directory = createDirectory({
    log,
    metrics,
    registry,
    cold,
    limits,
    backoffs,
    peers,
    isPlacedByHubs,
    getParts,
  });
  const reports = createReports({
    settings,
    clock,
    random,
    directory,
    registry,
    actions,
    isOutOfTouch,
    isEngineService,
    shares: createWatchShares(own, links),
    updates,
    reporter,
  });
  const { placer, capacity, placeHub, waitQueue } = createPlacing({
    settings,
    clock,
    random,
    log,
    metrics,
    own,
    dataHall,
    knowledge,
    registry,
    competing,
    places,
    peers,
    directory,
    cold,
    limits,
    backoffs,
    pace,
    paths,
    reports,
    getMaxBoxesSeen: () => maxBoxesSeen,
    onPassedOver: reportPassedOver,
  });
  const { planner, standbys, mover } = createMoves({
    clock,
    log,
    metrics,
    actions,
    directory,
    registry,
    reports,
    placer,
    runs,
    findTraits: (server: BackendServer) => findService(server.entry.service)?.engine,
    askForFacts: hubs.askForFacts,
  });
  const getSettings = () => settings;
  const { forwarder, clientServer } = createServing({
    getSettings,
    clock,
    turns,
    random,
    log,
    metrics,
    exchanges: paths.exchanges,
    configuration: knowledge.configuration,
    placer,
    runs,
    waitQueue,
    advisor: hubs.advisor,
    plainAdmission: capacity.plainAdmission,
    runKeeper: mover,
    pace: pace.observer,
    guard: crashes.guard,
    origins: origins.streams,
    signals,
    intake,
    isBusy: meter.isBusy,
    getMaxBoxesSeen: () => maxBoxesSeen,
    countPeerConnections: peerServer.countConnections,
  });
  const followedTables = createFollowedTables({
    settings,
    clock: agingClock,
    random,
    log,
    metrics,
    links,
    callBounds,
    tables: {
      ...createSinks({
        clock,
        log,
        metrics,
        directory,
        holder,
        periods: cold.periods,
        leavingWithin: settings.bounds.leavingMs as Ms,
        onServersRegained: origins.rows.reload,
        onLimits: clientServer.applyLimits,
      }),
      boxes: { sink: membership.sink, rules: createBoxRestoreRules(own) },
      blocked: {
        sink: crashes.list.sink,
        rules: BLOCKED_RESTORE_RULES,
        onRestored: crashes.list.recover,
      },
    },
    onRestored: peers.notifyNewBoxes,
  });
  const parts: BoxParts = {
    capacity,
    clientServer,
    directory,
    followedTables,
    forwarder,
    guard: crashes.guard,
    limits,
    mover,
    origins,
    pace,
    paths,
    placeHub,
    placer,
    planner,
    reports,
  };
  const lifecycle = createLifecycle({
    getSettings,
    clock,
    log,
    metrics,
    isCurrent: knowledge.isCurrent,
    peerAddress,
    clientServer,
    forwarder,
    followedTables,
    blockedList: crashes.list,
    versionRows: origins.rows,
    membership,
    reports,
    standbys,
    links,
    peerServer,
    pace,
    paths,
    runs,
    meter,
  });
  return {
    ...lifecycle,
    applySettings: (changed) => {
      settings = changed;
    },
  };
};
