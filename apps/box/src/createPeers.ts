/**
 * Creates a box's connections to other boxes: its links, its listener, and the updates sent
 * over both.
 */
import type { BoxName, Clock, Ms, Random } from "@stairgauge/common";
import type { RequestGuard } from "@stairgauge/crashes";
import type { ServerDirectory } from "@stairgauge/directory";
import { computePeerConnections } from "@stairgauge/forwarding";
import type { ServerLimits } from "@stairgauge/limits";
import type { StreamOrigins } from "@stairgauge/origins";
import {
  createPeerLinks,
  createPeerServer,
  createRunReporter,
  hasHubs,
  hasUnsettled,
  makeNotice,
  type HubNotice,
  type Member,
  type PeerLinks,
  type PeerServer,
  type PeerServerOptions,
  type RunReporter,
  type SharedUnsettledRows,
} from "@stairgauge/peers";
import type { PaceRegistry } from "@stairgauge/pace";
import type { LoadRegistry } from "@stairgauge/placement";
import type { BoxSettings } from "@stairgauge/settings";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import { computeSettingsLimits } from "./computeSettingsLimits.js";
import { createConnectionReports } from "./connectionReports.js";
import type { Capacity } from "./createCapacity.js";
import type { FollowedTables } from "./createFollowedTables.js";
import { observeOddParts, observePeers } from "./observers.js";
import { listSharedLeaving, type UpdateReceiver } from "./receiveUpdates.js";

export type PeersOptions = Readonly<{
  settings: BoxSettings;
  clock: Clock;
  random: Random;
  log: DecisionLog;
  metrics: BoxMetrics;
  member: Member;
  registry: LoadRegistry;
  updates: Pick<UpdateReceiver, "receiveUpdate" | "receiveLeaving">;
  /** Parts that need the links themselves, and so are created later. */
  getParts: () => Readonly<{
    directory: Pick<ServerDirectory, "list">;
    guard: Pick<RequestGuard, "applyUpdate" | "makeFullUpdate" | "makeSharedUpdate">;
    limits: Pick<ServerLimits, "makeUpdate" | "applyUpdate">;
    followedTables: Pick<FollowedTables, "listUnsettled" | "applyUnsettled">;
    capacity: Pick<Capacity, "applyShared" | "listSigns">;
    origins: Readonly<{ streams: Pick<StreamOrigins, "listOwn" | "answer"> }>;
    pace: Readonly<{ registry: Pick<PaceRegistry, "applyEstimates"> }>;
  }>;
}> &
  Pick<PeerServerOptions, "answerTable" | "answerPlace" | "answerMoves" | "answerCarry">;

export type Peers = Readonly<{
  reporter: RunReporter;
  links: PeerLinks;
  peerServer: PeerServer;
  /** Whether this box forwards notices: where boxes are linked to hubs only, a hub does. */
  isForwarding: () => boolean;
  /**
   * Forwards a notice to all boxes that are linked to this one, if this box forwards notices.
   */
  forward: (notice: Partial<HubNotice>) => void;
  /** Sends the rows of a restored table that count here to boxes that have started recently. */
  notifyNewBoxes: (unsettled: SharedUnsettledRows) => void;
}>;

/**
 * A box that connected longer ago than this has followed the tables long enough to have these
 * rows itself.
 */
const NEW_BOX_MS = 10_000;

/** Creates links and listener; nothing is connected yet. */
export const createPeers = (options: PeersOptions): Peers => {
  const { settings, clock, random, log, metrics, member, registry, updates } = options;
  const { getParts } = options;
  const { answerTable, answerPlace, answerMoves, answerCarry } = options;
  const listContended = () => getParts().capacity.listSigns();
  const onMessage = observePeers({ metrics });
  const onOddPart = observeOddParts({ log, metrics });

  const handleNotice = (notice: HubNotice, by: Member["box"]) => {
    notice.leaving.forEach(updates.receiveLeaving);
    getParts().guard.applyUpdate(notice.crashes);
    getParts().limits.applyUpdate(notice.limits, by);
    getParts().followedTables.applyUnsettled(notice.unsettled);
    if (notice.paces) getParts().pace.registry.applyEstimates(notice.paces, by);
    if (notice.contended)
      getParts().capacity.applyShared(notice.contended, { box: by, message: "notice" });
  };
  const greetedAt = new Map<BoxName, Ms>();
  const isNewBox = (box: BoxName) =>
    clock.monotonic() - (greetedAt.get(box) ?? -Infinity) < NEW_BOX_MS;
  const recordGreeting = (box: BoxName) => {
    for (const one of [...greetedAt.keys()]) if (!isNewBox(one)) greetedAt.delete(one);
    greetedAt.set(box, clock.monotonic());
  };
  const reporter = createRunReporter({
    clock,
    own: member.box,
    registry,
    send: (update) => links.send(update),
    sendToSome: (update) => links.sendToSome(update),
    listLeaving: () => listSharedLeaving(getParts().directory),
    listCrashes: () => getParts().guard.makeFullUpdate(),
    listLimits: () => getParts().limits.makeUpdate(),
    listContended,
    listOrigins: () => getParts().origins.streams.listOwn(),
  });
  const links = createPeerLinks({
    clock,
    random,
    own: member,
    makeWhole: reporter.makeWhole,
    onNotice: handleNotice,
    onMessage,
    onOddPart,
  });
  const peerServer = createPeerServer({
    onMessage,
    onOddPart,
    onUpdate: updates.receiveUpdate,
    makeFirstNotice: (box) => {
      recordGreeting(box);
      return makeNotice({
        // A box that has just started has only read the entries, which may be older than the
        // servers' announcements.
        leaving: listSharedLeaving(getParts().directory).filter(
          ({ evidence }) => evidence === "own_word",
        ),
        crashes: getParts().guard.makeSharedUpdate(),
        limits: getParts().limits.makeUpdate(),
        contended: listContended(),
        unsettled: getParts().followedTables.listUnsettled(),
      });
    },
    onPeerLost: (box) => {
      registry.dropPeer(box);
      log.writeDecision("peer_lost", { peer: box });
    },
    answerTable,
    answerPlace,
    answerMoves,
    answerOrigin: (question) =>
      Promise.resolve(getParts().origins.streams.answer(question)),
    answerCarry,
    clock,
    limits: {
      maxConnections: computePeerConnections(settings.limits.descriptors),
      maxCalls: settings.limits.descriptors / 2,
      maxCallsOfConnection: Math.floor(settings.limits.descriptors / 4),
      maxUnreadBytes: computeSettingsLimits(settings).unread,
      maxUnhandledBytes: computeSettingsLimits(settings).unread,
    },
    onLimit: createConnectionReports("peers", options).onLimit,
  });
  const isForwarding = () => hasHubs(links.countBoxes()) && links.isHub();
  const forward = (notice: Partial<HubNotice>) => {
    if (isForwarding()) peerServer.notifyAll(makeNotice(notice));
  };
  const notifyNewBoxes = (unsettled: SharedUnsettledRows) => {
    if (!hasUnsettled(unsettled)) return;
    const boxes = [...greetedAt.keys()].filter(isNewBox);
    peerServer.notify(boxes, makeNotice({ unsettled: [unsettled] }));
  };
  return { reporter, links, peerServer, isForwarding, forward, notifyNewBoxes };
};
