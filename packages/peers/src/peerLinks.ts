/** The links of one box to others: to all of them at a small site, to the hubs at a large one. */
import {
  Err,
  type BoxName,
  type Clock,
  type Ms,
  type Random,
  type Result,
  type Timer,
} from "@stairgauge/common";
import type { ServerAddress } from "@stairgauge/directory";
import type { OriginAnswer, OriginQuestion } from "@stairgauge/origins";
import { createCarrierLinks, type CarrierLinks } from "./carrierLinks.js";
import { chooseLinks, listHubs, MAX_LINKS } from "./hubs.js";
import { withLastResult } from "./lastResult.js";
import { openPeerLink, type PeerLink } from "./peerLink.js";
import { rankByCapacity } from "./rankStoreReaders.js";
import { createPeerService, type OddPart, type PeerMessage } from "./service.js";
import { callUnary, type UnaryMethod } from "./unaryCall.js";
import type {
  AskFailure,
  HubNotice,
  Member,
  MovesAnswer,
  MovesQuestion,
  Peer,
  PlaceAnswer,
  PlaceQuestion,
  RunUpdate,
  TableAnswer,
  TableQuestion,
} from "./types.js";

/** Options of the links. */
export type PeerLinksOptions = Readonly<{
  clock: Clock;
  random: Random;
  own: Member;
  /** The whole state, for a link that has just come up. */
  makeWhole: () => RunUpdate;
  /** A hub has sent a notice to this box. */
  onNotice: (notice: HubNotice, by: BoxName) => void;
  onMessage: (message: PeerMessage) => void;
  /** Called for each part of a message that can't be read, which is left out. */
  onOddPart?: ((part: OddPart) => void) | undefined;
}>;

/** The links of one box. */
export type PeerLinks = Readonly<{
  /** Opens links to boxes known by address only; they last until a list of boxes is set. */
  setSeeds: (addresses: readonly ServerAddress[]) => void;
  /** Sets the list of all boxes; links to boxes that are gone are closed. An empty list is ignored. */
  setPeers: (peers: readonly Peer[]) => void;
  /** Sends an update over all links that are up. */
  send: (update: RunUpdate) => void;
  /** Sends to a few boxes chosen at random, so that an update that all pass on costs only a few calls per box. */
  sendToSome: (update: RunUpdate) => void;
  /** Asks one box for a table; the call is cancelled when the signal aborts. */
  ask: PeerCall<TableQuestion, TableAnswer>;
  askPlace: PeerCall<PlaceQuestion, PlaceAnswer>;
  askMoves: PeerCall<MovesQuestion, MovesAnswer>;
  askOrigin: PeerCall<OriginQuestion, OriginAnswer>;
  /** Boxes that may carry requests for this one. */
  carriers: Pick<CarrierLinks, "hasAny" | "listBoxes" | "call">;
  /** Closes the link to a box and opens a new one, since its connection no longer brings answers. */
  reopen: (box: BoxName) => void;
  /** Boxes whose link is up. */
  listConnected: () => readonly Member[];
  /** Boxes whose link is up or was until a moment ago; to leave the latter out would be to do their work a second time. */
  listReachable: () => readonly Member[];
  /** The hubs as this box sees them. It may be one itself, and is the only one when it is alone. */
  listHubs: () => readonly BoxName[];
  isHub: () => boolean;
  /** Rank of this box in the list of all boxes, which every box sorts alike; undefined before the list is read. */
  findPlace: () => Readonly<{ rank: number; boxes: number }> | undefined;
  /** Number of known boxes, this one included. */
  countBoxes: () => number;
  /** Number of links. */
  count: () => number;
  close: () => void;
}>;

/** A question to one box. */
export type PeerCall<Question, Answer> = (
  box: BoxName,
  question: Question,
  signal: AbortSignal,
) => Promise<Result<Answer, AskFailure>>;

type Link = PeerLink & {
  /** Monotonic time since which the link is down; undefined while it is up. */
  downSince: number | undefined;
};

/** Boxes that each box passes an update on to: with 3, all but one in a thousand boxes receive it. */
const FAN_OUT = 3;

/** Interval at which the links are checked for failed ones. */
const CHECK_MS = 500 as Ms;

/** A link that has been down this long is failing: a box that restarts is back in about a second. */
const FAILING_AFTER_MS = 1_000;

/** How long the list of hubs is cached: with 100 servers it is read 200 times a second, and takes 16 µs to compute. */
const HUBS_CACHE_MS = 100;

/** With all links in use, a box unreachable for AVOIDED_AFTER_MS is not linked to for AVOIDED_MS, to free its link. */
const AVOIDED_AFTER_MS = 6_000;
const AVOIDED_MS = 15_000;

/** Creates the links; there are none until peers are set. */
export const createPeerLinks = (options: PeerLinksOptions): PeerLinks => {
  const { clock, random, own, makeWhole, onNotice } = options;
  const service = createPeerService(options.onMessage, options.onOddPart);
  const linkOptions = { clock, random, service, makeWhole, onNotice };
  const links = new Map<BoxName, Link>();
  const avoidedUntil = new Map<BoxName, number>();
  let peersByBox: ReadonlyMap<BoxName, Peer> = new Map();
  let knownPeers: readonly Peer[] = [];
  let ranked: readonly BoxName[] = [];
  let hubs: Readonly<{ at: number; boxes: readonly BoxName[] }> = {
    at: -Infinity,
    boxes: [],
  };
  const listHubsOf = withLastResult(listHubs);
  let checkTimer: Timer | undefined;
  let isClosed = false;

  const closeLink = (link: Link) => {
    links.delete(link.peer.box);
    link.close();
  };

  const chooseSome = (all: Link[]): readonly Link[] => {
    const chosen: Link[] = [];
    while (all.length > 0 && chosen.length < FAN_OUT)
      chosen.push(...all.splice(random.nextInt(0, all.length - 1), 1));
    return chosen;
  };

  const createCall =
    <Question, Answer>(
      ask: (
        link: Link,
        question: Question,
        signal: AbortSignal,
      ) => Promise<Result<Answer, AskFailure>>,
    ): PeerCall<Question, Answer> =>
    (box, question, signal) => {
      const link = links.get(box);
      if (!link) return Promise.resolve(Err({ kind: "no_link" }));
      return ask(link, question, signal);
    };
  const createUnaryCall = <Question, Answer>(method: UnaryMethod<Question, Answer>) =>
    createCall<Question, Answer>(({ client }, ...asked) =>
      callUnary({ client, method }, ...asked),
    );

  const openLink = (peer: Peer) => {
    const link = openPeerLink(peer, linkOptions);
    links.set(peer.box, { ...link, downSince: clock.monotonic() });
  };

  const hasMoved = (link: Link, peer: Peer) =>
    link.peer.address.host !== peer.address.host ||
    link.peer.address.port !== peer.address.port;

  const toSeed = (address: ServerAddress): Peer => ({
    box: `seed ${address.host}:${address.port}` as BoxName,
    address,
    capacity: 1,
  });

  const isDownFor = (box: BoxName, duration: number): boolean => {
    const downSince = links.get(box)?.downSince;
    return downSince !== undefined && clock.monotonic() - downSince > duration;
  };

  const listConnected = () =>
    [...links.values()].filter((link) => link.isUp()).map(({ peer }) => peer);

  const recordStates = () => {
    const now = clock.monotonic();
    for (const link of links.values())
      link.downSince = link.isUp() ? undefined : (link.downSince ?? now);
    // With no link up, this box itself is cut off.
    if (links.size < MAX_LINKS || listConnected().length === 0) return;
    const lost = [...links.keys()].filter((box) => isDownFor(box, AVOIDED_AFTER_MS));
    for (const box of lost) avoidedUntil.set(box, now + AVOIDED_MS);
  };

  const isAvoided = (box: BoxName) =>
    (avoidedUntil.get(box) ?? -Infinity) > clock.monotonic();

  /** Opens the chosen links that are missing, and closes all others. */
  const setLinks = () => {
    const chosen = new Set(
      chooseLinks({
        own: own.box,
        ranked,
        isFailing: (box) => isDownFor(box, FAILING_AFTER_MS),
        isAvoided,
      }),
    );
    for (const [box, link] of links) {
      const peer = peersByBox.get(box);
      if (!peer || !chosen.has(box) || hasMoved(link, peer)) closeLink(link);
    }
    for (const box of chosen) {
      const peer = peersByBox.get(box);
      if (peer && !links.has(box)) openLink(peer);
    }
  };

  const checkLinks = () => {
    if (isClosed) return;
    checkTimer = clock.setTimer(CHECK_MS, checkLinks);
    recordStates();
    setLinks();
  };

  const listReachable = () =>
    [...links.values()]
      .filter((link) => link.isUp() || !isDownFor(link.peer.box, FAILING_AFTER_MS))
      .map(({ peer }) => peer);
  const countBoxes = () => Math.max(1, ranked.length);
  const findHubs = (): readonly BoxName[] => {
    const now = clock.monotonic();
    if (now - hubs.at >= HUBS_CACHE_MS)
      hubs = { at: now, boxes: listHubsOf([own, ...listReachable()], countBoxes()) };
    return hubs.boxes;
  };

  const carriers = createCarrierLinks({
    clock,
    own: own.box,
    service,
    listPeers: () => knownPeers,
    listConnected,
    findClient: (box) => {
      const link = links.get(box);
      return link?.isUp() ? link.client : undefined;
    },
  });

  return {
    setSeeds: (addresses) => {
      for (const peer of addresses.map(toSeed)) if (!links.has(peer.box)) openLink(peer);
    },
    setPeers: (peers) => {
      // A new store has an empty list of boxes; the links to the seeds stay.
      if (peers.length === 0) return;
      knownPeers = peers;
      peersByBox = new Map(peers.map((peer) => [peer.box, peer]));
      const others = peers.filter(({ box }) => box !== own.box);
      ranked = rankByCapacity([own, ...others]);
      setLinks();
      hubs = { at: -Infinity, boxes: [] };
      if (!checkTimer) checkLinks();
    },
    send: (update) => {
      for (const link of links.values()) link.write(update);
    },
    sendToSome: (update) => {
      for (const link of chooseSome([...links.values()])) link.write(update);
    },
    ask: createCall((link, ...asked) => link.askTable(...asked)),
    askPlace: createUnaryCall(service.askPlace),
    askMoves: createUnaryCall(service.askMoves),
    askOrigin: createUnaryCall(service.askOrigin),
    carriers,
    reopen: (box) => {
      const link = links.get(box);
      if (!link) return;
      closeLink(link);
      openLink(link.peer);
    },
    listConnected,
    listReachable,
    listHubs: findHubs,
    isHub: () => findHubs().includes(own.box),
    findPlace: () =>
      ranked.length === 0
        ? undefined
        : { rank: ranked.indexOf(own.box), boxes: ranked.length },
    countBoxes,
    count: () => links.size,
    close: () => {
      isClosed = true;
      checkTimer?.cancel();
      carriers.close();
      for (const link of [...links.values()]) closeLink(link);
    },
  };
};
