/** Tells this box's runs to every other box, over one stream each. */
import {
  Client,
  connectivityState,
  credentials,
  type ClientWritableStream,
} from "@grpc/grpc-js";
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
import { peerService } from "./service.js";
import type {
  AskFailure,
  Member,
  Peer,
  RunUpdate,
  TableAnswer,
  TableQuestion,
} from "./types.js";

/** What the links need. */
export type PeerLinksOptions = Readonly<{
  clock: Clock;
  random: Random;
  own: BoxName;
  /** The whole state, for a link that has just come up. */
  makeWhole: () => RunUpdate;
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
  ask: (
    box: BoxName,
    question: TableQuestion,
    signal: AbortSignal,
  ) => Promise<Result<TableAnswer, AskFailure>>;
  /** Boxes whose link stands. */
  listUp: () => readonly Member[];
  count: () => number;
  close: () => void;
}>;

type Link = {
  readonly peer: Peer;
  readonly client: Client;
  stream: ClientWritableStream<RunUpdate> | undefined;
  retry: Timer | undefined;
  pause: number;
};

/** Pauses between tries at a box that cannot be reached. */
const FIRST_PAUSE_MS = 300;
const MOST_PAUSE_MS = 5_000;

/** A link is probed this often when nothing is said, so that a half-open one is found. */
const LINK_OPTIONS = {
  "grpc.keepalive_time_ms": 5_000,
  "grpc.keepalive_timeout_ms": 1_500,
  "grpc.initial_reconnect_backoff_ms": 200,
  "grpc.max_reconnect_backoff_ms": 2_000,
  "grpc.enable_retries": 0,
} as const;

/** Updates that may wait for a slow peer before its link is opened anew. */
const MOST_BUFFERED_BYTES = 256 * 1024;

/** Boxes that one box passes a thing on to: with 3 each, all but one in a thousand hear it. */
const FAN_OUT = 3;

/** Creates the links; there are none until peers are set. */
export const createPeerLinks = (options: PeerLinksOptions): PeerLinks => {
  const { clock, random, own, makeWhole } = options;
  const links = new Map<BoxName, Link>();

  const closeLink = (link: Link) => {
    link.retry?.cancel();
    link.stream?.cancel();
    link.stream = undefined;
    link.client.close();
  };

  const scheduleRetry = (link: Link) => {
    if (links.get(link.peer.box) !== link) return;
    link.retry?.cancel();
    const pause = link.pause * (0.5 + random.nextFloat());
    link.pause = Math.min(MOST_PAUSE_MS, link.pause * 2);
    link.retry = clock.setTimer(pause as Ms, () => openStream(link));
  };

  const openStream = (link: Link) => {
    const stream = link.client.makeClientStreamRequest(
      peerService.tellRuns.path,
      peerService.tellRuns.requestSerialize,
      peerService.tellRuns.responseDeserialize,
      () => {
        if (link.stream !== stream) return;
        link.stream = undefined;
        scheduleRetry(link);
      },
    );
    link.stream = stream;
    stream.on("metadata", () => {
      link.pause = FIRST_PAUSE_MS;
    });
    stream.on("error", () => undefined);
    stream.write(makeWhole());
  };

  const chooseSome = (all: Link[]): readonly Link[] => {
    const chosen: Link[] = [];
    while (all.length > 0 && chosen.length < FAN_OUT)
      chosen.push(...all.splice(random.nextInt(0, all.length - 1), 1));
    return chosen;
  };

  const write = ({ stream }: Link, update: RunUpdate) => {
    if (!stream) return;
    if (stream.writableLength > MOST_BUFFERED_BYTES) stream.cancel();
    else stream.write(update);
  };

  const isUp = ({ client }: Link) =>
    client.getChannel().getConnectivityState(false) === connectivityState.READY;

  const askBox = ({ client }: Link, question: TableQuestion, signal: AbortSignal) =>
    new Promise<Result<TableAnswer, AskFailure>>((resolve) => {
      const call = client.makeUnaryRequest(
        peerService.askTable.path,
        peerService.askTable.requestSerialize,
        peerService.askTable.responseDeserialize,
        question,
        (error, answer) => {
          if (answer) resolve(Ok(answer));
          else resolve(Err({ kind: "failed", detail: error?.details ?? "no answer" }));
        },
      );
      signal.addEventListener("abort", () => call.cancel(), { once: true });
    });

  const openLink = (peer: Peer) => {
    const { host, port } = peer.address;
    const client = new Client(
      `${host}:${port}`,
      credentials.createInsecure(),
      LINK_OPTIONS,
    );
    const link: Link = {
      peer,
      client,
      stream: undefined,
      retry: undefined,
      pause: FIRST_PAUSE_MS,
    };
    links.set(peer.box, link);
    openStream(link);
  };

  const hasMoved = (link: Link, peer: Peer) =>
    link.peer.address.host !== peer.address.host ||
    link.peer.address.port !== peer.address.port;

  const toSeed = (address: ServerAddress): Peer => ({
    box: `seed ${address.host}:${address.port}` as BoxName,
    address,
    capacity: 1,
  });

  return {
    setSeeds: (addresses) => {
      for (const peer of addresses.map(toSeed)) if (!links.has(peer.box)) openLink(peer);
    },
    setPeers: (peers) => {
      const others = peers.filter((peer) => peer.box !== own);
      // An empty list is that of a store that has just begun: the seeds stay.
      if (peers.length === 0) return;
      const wanted = new Map(others.map((peer) => [peer.box, peer]));
      for (const [box, link] of links) {
        const peer = wanted.get(box);
        if (peer && !hasMoved(link, peer)) continue;
        links.delete(box);
        closeLink(link);
      }
      for (const peer of wanted.values()) if (!links.has(peer.box)) openLink(peer);
    },
    tell: (update) => {
      for (const link of links.values()) write(link, update);
    },
    tellSome: (update) => {
      for (const link of chooseSome([...links.values()])) write(link, update);
    },
    ask: async (box, question, signal) => {
      const link = links.get(box);
      return link ? askBox(link, question, signal) : Err({ kind: "no_link" });
    },
    listUp: () => [...links.values()].filter(isUp).map(({ peer }) => peer),
    count: () => links.size,
    close: () => {
      for (const link of links.values()) closeLink(link);
      links.clear();
    },
  };
};
