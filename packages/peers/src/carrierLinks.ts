/**
 * Channels to the boxes that may carry requests. In a full mesh these are the links to all boxes. At a
 * site with hubs, where each box is linked to the hubs only, a box that has lost paths opens channels to
 * further boxes, so that the hubs alone do not carry everything.
 */
import { Client, credentials } from "@grpc/grpc-js";
import type { BoxName, Clock, Ms, Timer } from "@stairgauge/common";
import type { CallCarrier } from "@stairgauge/paths";
import { callCarry } from "./carryCall.js";
import { hasHubs } from "./hubs.js";
import { createLinkOptions } from "./peerLink.js";
import { rankByHash, sortByHallsInTurn } from "./rankStoreReaders.js";
import type { PeerService } from "./service.js";
import type { Member, Peer } from "./types.js";

/** Options of the channels. */
export type CarrierLinksOptions = Readonly<{
  clock: Clock;
  own: BoxName;
  service: Pick<PeerService, "carry">;
  /** All known boxes. */
  listPeers: () => readonly Peer[];
  /** Boxes whose link is up. */
  listConnected: () => readonly Member[];
  /** Client of the link to a box; undefined if there is no link that is up. */
  findClient: (box: BoxName) => Client | undefined;
}>;

/** The channels of one box to its carriers. */
export type CarrierLinks = Readonly<{
  /** Whether any other box is known. */
  hasAny: () => boolean;
  listBoxes: () => readonly BoxName[];
  call: CallCarrier;
  close: () => void;
}>;

/** Boxes beyond the hubs that one box asks to carry its requests. */
const FURTHER_CARRIERS = 6;

/** How long a channel is kept without a call. */
const IDLE_MS = 30_000 as Ms;

type Channel = { readonly address: string; readonly client: Client; idle: Timer };

/** Creates the channels; none is open. */
export const createCarrierLinks = (options: CarrierLinksOptions): CarrierLinks => {
  const { clock, own, service, listPeers, listConnected, findClient } = options;
  const channels = new Map<BoxName, Channel>();
  let ranking: Readonly<{ of: readonly Peer[]; boxes: readonly BoxName[] }> = {
    of: [],
    boxes: [],
  };

  const closeChannel = (box: BoxName) => {
    const channel = channels.get(box);
    channel?.idle.cancel();
    channel?.client.close();
    channels.delete(box);
  };
  const scheduleClose = (box: BoxName) =>
    clock.setTimer(IDLE_MS, () => closeChannel(box));

  const openChannel = ({ box, address: { host, port } }: Peer): Client => {
    const address = `${host}:${port}`;
    const known = channels.get(box);
    if (known?.address === address) {
      known.idle.cancel();
      known.idle = scheduleClose(box);
      return known.client;
    }
    closeChannel(box);
    const client = new Client(
      address,
      credentials.createInsecure(),
      createLinkOptions(clock),
    );
    channels.set(box, { address, client, idle: scheduleClose(box) });
    return client;
  };

  /** Differs by box, so that the boxes of a hall do not all ask the same few. */
  const listFurther = (): readonly BoxName[] => {
    const peers = listPeers();
    if (ranking.of !== peers) {
      const others = peers.filter(({ box }) => box !== own);
      const shuffled = rankByHash(
        others.map(({ box }) => box),
        own,
      );
      const boxes = sortByHallsInTurn(shuffled, others).slice(0, FURTHER_CARRIERS);
      ranking = { of: peers, boxes };
    }
    return ranking.boxes;
  };

  return {
    hasAny: () => listPeers().some(({ box }) => box !== own),
    listBoxes: () => {
      const linked = listConnected().map(({ box }) => box);
      if (!hasHubs(listPeers().length)) return linked;
      return [...new Set([...linked, ...listFurther()])];
    },
    call: (box, question, sink) => {
      const linked = findClient(box);
      const peer = linked ? undefined : listPeers().find((one) => one.box === box);
      const client = linked ?? (peer && openChannel(peer));
      return client && callCarry(client, service, { question, sink });
    },
    close: () => {
      for (const box of [...channels.keys()]) closeChannel(box);
    },
  };
};
