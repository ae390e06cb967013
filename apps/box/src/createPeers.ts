/** Wires together what a box says to others and hears from them: its links, its listener, and what it tells over both. */
import type { BoxName, Clock, Ms, Random } from "@stairgauge/common";
import type { ServerDirectory } from "@stairgauge/directory";
import type { ServerLimits } from "@stairgauge/limits";
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
import type { LoadRegistry } from "@stairgauge/placement";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import type { Crashes } from "./createCrashes.js";
import type { Knowledge } from "./createKnowledge.js";
import { observePeers } from "./observers.js";
import { listToldLeaving, type UpdateTaker } from "./takeUpdates.js";

/** What they need of the rest of a box. */
export type PeersOptions = Readonly<{
  clock: Clock;
  random: Random;
  log: DecisionLog;
  metrics: BoxMetrics;
  member: Member;
  book: LoadRegistry;
  updates: Pick<UpdateTaker, "takeUpdate" | "takeLeaving">;
  getDirectory: () => Pick<ServerDirectory, "list">;
  getCrashes: () => Pick<Crashes, "guard">;
  getLimits: () => Pick<ServerLimits, "makeUpdate" | "applyUpdate">;
  getKnowledge: () => Pick<Knowledge, "listUnsettled" | "takeUnsettled">;
}> &
  Pick<PeerServerOptions, "answerTable" | "answerPlace" | "answerMoves">;

/** The parts that the rest of a box calls. */
export type Peers = Readonly<{
  teller: RunReporter;
  links: PeerLinks;
  peerServer: PeerServer;
  /** Whether this box hands on what it hears: where boxes are linked to hubs only, a hub does. */
  isHandingOn: () => boolean;
  /** Hands it on to all boxes that are linked to this one, if this one does so. */
  passOn: (told: Partial<HubNotice>) => void;
  /** Tells boxes that have started lately which rows of a restored table count at this one. */
  tellNewBoxes: (told: SharedUnsettledRows) => void;
}>;

/** A box that was greeted so long ago has known the tables as long as this one. */
const NEW_BOX_MS = 10_000;

/** Creates the parts; nobody is linked to and nothing is listened at. */
export const createPeers = (options: PeersOptions): Peers => {
  const { clock, random, log, metrics, member, book, updates } = options;
  const { getDirectory, getCrashes, getLimits, getKnowledge } = options;
  const { answerTable, answerPlace, answerMoves } = options;
  const onMessage = observePeers({ metrics });

  const takeNotice = (notice: HubNotice, by: Member["box"]) => {
    notice.leaving.forEach(updates.takeLeaving);
    getCrashes().guard.applyUpdate(notice.crashes);
    getLimits().applyUpdate(notice.limits, by);
    getKnowledge().takeUnsettled(notice.unsettled);
  };
  const greetedAt = new Map<BoxName, Ms>();
  const isNewBox = (box: BoxName) =>
    clock.monotonic() - (greetedAt.get(box) ?? -Infinity) < NEW_BOX_MS;
  const recordGreeting = (box: BoxName) => {
    for (const one of [...greetedAt.keys()]) if (!isNewBox(one)) greetedAt.delete(one);
    greetedAt.set(box, clock.monotonic());
  };
  const teller = createRunReporter({
    clock,
    own: member.box,
    book,
    send: (update) => links.tell(update),
    sendToSome: (update) => links.tellSome(update),
    listLeaving: () => listToldLeaving(getDirectory()),
    listCrashes: () => getCrashes().guard.makeFullUpdate(),
    listLimits: () => getLimits().makeUpdate(),
  });
  const links = createPeerLinks({
    clock,
    random,
    own: member,
    makeWhole: teller.makeWhole,
    onNotice: takeNotice,
    onMessage,
  });
  const peerServer = createPeerServer({
    onMessage,
    onUpdate: updates.takeUpdate,
    makeGreeting: (box) => {
      recordGreeting(box);
      return makeNotice({
        // A box that has just started knows the entries only, which may be older than the servers' word.
        leaving: listToldLeaving(getDirectory()).filter(
          ({ basis }) => basis === "own_word",
        ),
        crashes: getCrashes().guard.makeSharedUpdate(),
        limits: getLimits().makeUpdate(),
        unsettled: getKnowledge().listUnsettled(),
      });
    },
    onPeerLost: (box) => {
      book.dropPeer(box);
      log.writeDecision("peer_lost", { peer: box });
    },
    answerTable,
    answerPlace,
    answerMoves,
  });
  const isHandingOn = () => hasHubs(links.countBoxes()) && links.isHub();
  const passOn = (told: Partial<HubNotice>) => {
    if (isHandingOn()) peerServer.notifyAll(makeNotice(told));
  };
  const tellNewBoxes = (told: SharedUnsettledRows) => {
    if (!hasUnsettled(told)) return;
    const boxes = [...greetedAt.keys()].filter(isNewBox);
    peerServer.notify(boxes, makeNotice({ unsettled: [told] }));
  };
  return { teller, links, peerServer, isHandingOn, passOn, tellNewBoxes };
};
