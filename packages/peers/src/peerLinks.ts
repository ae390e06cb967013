/** The links of one box to others: to all of them where they are few, to the hubs where there are many. */
import {
  Err,
  Ok,
  type BoxName,
  type Clock,
  type Ms,
  type Random,
  type Result,
  type Timer,
} from "@stairgauge/common";
import type { ServerAddress } from "@stairgauge/directory";
import { chooseLinks, listHubs, MAX_LINKS } from "./hubs.js";
import { openPeerLink, type PeerLink } from "./peerLink.js";
import { rankByCapacity } from "./rankStoreReaders.js";
import { createPeerService, type PeerMessage } from "./service.js";
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

/** What the links need. */
export type PeerLinksOptions = Readonly<{
  clock: Clock;
  random: Random;
  own: Member;
  /** The whole state, for a link that has just come up. */
  makeWhole: () => RunUpdate;
  /** A hub has told this box something. */
  onNotice: (notice: HubNotice, by: BoxName) => void;
  onMessage: (message: PeerMessage) => void;
}>;

/** The links of one box. */
export type PeerLinks = Readonly<{
  /** Links to boxes known by address only, until the list of boxes names others. */
  setSeeds: (addresses: readonly ServerAddress[]) => void;
  /** Takes the list of all boxes; links to those that are gone are closed. */
  setPeers: (peers: readonly Peer[]) => void;
  /** Hands an update to all links that are up. */
  tell: (update: RunUpdate) => void;
  /** Tells a few boxes chosen at random, so that what all pass on costs no more than a few calls a box. */
  tellSome: (update: RunUpdate) => void;
  /** Asks one box for a table; gives up when the signal says so. */
  ask: Asking<TableQuestion, TableAnswer>;
  askPlace: Asking<PlaceQuestion, PlaceAnswer>;
  askMoves: Asking<MovesQuestion, MovesAnswer>;
  /** Opens the link to a box anew: its connection no longer brings answers. */
  renew: (box: BoxName) => void;
  /** Boxes whose link stands. */
  listUp: () => readonly Member[];
  /** Those, and the ones whose link may stand any moment: whoever counts them out does their work beside them. */
  listReachable: () => readonly Member[];
  /** The hubs as this box sees them, which may be one itself; alone, it is. */
  listHubs: () => readonly BoxName[];
  isHub: () => boolean;
  /** This box's place in the list of all boxes, which all of them order alike; undefined before the list is read. */
  findPlace: () => Readonly<{ rank: number; boxes: number }> | undefined;
  /** All boxes known, this one included. */
  countBoxes: () => number;
  count: () => number;
  close: () => void;
}>;

/** A call to one box. */
export type Asking<Question, Answer> = (
  box: BoxName,
  question: Question,
  signal: AbortSignal,
) => Promise<Result<Answer, AskFailure>>;

/** How one kind of question goes over the wire. */
type Method<Question, Answer> = Readonly<{
  path: string;
  requestSerialize: (question: Question) => Buffer;
  responseDeserialize: (bytes: Buffer) => Answer;
}>;

type Link = PeerLink & {
  /** Since when it has not been up; undefined while it is. */
  downSince: number | undefined;
};

/** Boxes that one box passes a thing on to: with 3 each, all but one in a thousand hear it. */
const FAN_OUT = 3;

/** How often links are looked through for those that have failed. */
const REVIEW_MS = 500 as Ms;

/** A link that has been down this long is failing: a box that starts anew is back in about a second. */
const FAILING_AFTER_MS = 1_000;

/** How long a list of the hubs serves: with 100 servers it is asked for 200 times a second, at 16 µs each. */
const HUBS_LIFE_MS = 100;

/** With all links taken, a box that has been out of reach this long is not tried for a while, so that others get its place. */
const AVOIDED_AFTER_MS = 6_000;
const AVOIDED_MS = 15_000;

/** Creates the links; there are none until peers are set. */
export const createPeerLinks = (options: PeerLinksOptions): PeerLinks => {
  const { clock, random, own, makeWhole, onNotice } = options;
  const service = createPeerService(options.onMessage);
  const linkOptions = { clock, random, service, makeWhole, onNotice };
  const links = new Map<BoxName, Link>();
  const avoidedUntil = new Map<BoxName, number>();
  let peersByBox: ReadonlyMap<BoxName, Peer> = new Map();
  let ranked: readonly BoxName[] = [];
  let hubs: Readonly<{ at: number; boxes: readonly BoxName[] }> = {
    at: -Infinity,
    boxes: [],
  };
  let reviewTimer: Timer | undefined;
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

  const createAsking =
    <Question, Answer>(method: Method<Question, Answer>): Asking<Question, Answer> =>
    (box, question, signal) =>
      new Promise((resolve) => {
        const link = links.get(box);
        if (!link) {
          resolve(Err({ kind: "no_link" }));
          return;
        }
        const call = link.client.makeUnaryRequest(
          method.path,
          method.requestSerialize,
          method.responseDeserialize,
          question,
          (error, answer) => {
            if (answer) resolve(Ok(answer));
            else resolve(Err({ kind: "failed", detail: error?.details ?? "no answer" }));
          },
        );
        signal.addEventListener("abort", () => call.cancel(), { once: true });
      });

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

  const listUp = () =>
    [...links.values()].filter((link) => link.isUp()).map(({ peer }) => peer);

  const recordStates = () => {
    const now = clock.monotonic();
    for (const link of links.values())
      link.downSince = link.isUp() ? undefined : (link.downSince ?? now);
    // With no link up it is this box that is out of reach.
    if (links.size < MAX_LINKS || listUp().length === 0) return;
    const lost = [...links.keys()].filter((box) => isDownFor(box, AVOIDED_AFTER_MS));
    for (const box of lost) avoidedUntil.set(box, now + AVOIDED_MS);
  };

  const isAvoided = (box: BoxName) =>
    (avoidedUntil.get(box) ?? -Infinity) > clock.monotonic();

  /** Opens the links that are wanted and closes the others. */
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

  const lookAtLinks = () => {
    if (isClosed) return;
    recordStates();
    setLinks();
    reviewTimer = clock.setTimer(REVIEW_MS, lookAtLinks);
  };

  const listReachable = () =>
    [...links.values()]
      .filter((link) => link.isUp() || !isDownFor(link.peer.box, FAILING_AFTER_MS))
      .map(({ peer }) => peer);
  const countBoxes = () => Math.max(1, ranked.length);
  const findHubs = (): readonly BoxName[] => {
    const now = clock.monotonic();
    if (now - hubs.at >= HUBS_LIFE_MS)
      hubs = { at: now, boxes: listHubs([own, ...listReachable()], countBoxes()) };
    return hubs.boxes;
  };

  return {
    setSeeds: (addresses) => {
      for (const peer of addresses.map(toSeed)) if (!links.has(peer.box)) openLink(peer);
    },
    setPeers: (peers) => {
      // An empty list is that of a store that has just begun: the seeds stay.
      if (peers.length === 0) return;
      peersByBox = new Map(peers.map((peer) => [peer.box, peer]));
      const others = peers.filter(({ box }) => box !== own.box);
      ranked = rankByCapacity([own, ...others]);
      setLinks();
      hubs = { at: -Infinity, boxes: [] };
      if (!reviewTimer) lookAtLinks();
    },
    tell: (update) => {
      for (const link of links.values()) link.write(update);
    },
    tellSome: (update) => {
      for (const link of chooseSome([...links.values()])) link.write(update);
    },
    ask: createAsking(service.askTable),
    askPlace: createAsking(service.askPlace),
    askMoves: createAsking(service.askMoves),
    renew: (box) => {
      const link = links.get(box);
      if (!link) return;
      closeLink(link);
      openLink(link.peer);
    },
    listUp,
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
      reviewTimer?.cancel();
      for (const link of [...links.values()]) closeLink(link);
    },
  };
};
