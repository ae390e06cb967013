/** Puts this box's row into the store, and takes the rows of the others from it. */
import type { Clock, Ms, Random } from "@stairgauge/common";
import type { FollowerSink, StoreWriteFailure, StoreWriter } from "@stairgauge/storefeed";
import { createMemberSink, encodeMember, type MemberFailure } from "./memberSink.js";
import type { Peer } from "./types.js";

/** What membership needs. */
export type MembershipOptions = Readonly<{
  clock: Clock;
  random: Random;
  writer: StoreWriter;
  table: string;
  /** This box, once it listens for others. */
  getOwn: () => Peer;
  /** How long a write may take. */
  limit: Ms;
  onPeers: (peers: readonly Peer[]) => void;
  onFailure: (failure: StoreWriteFailure | MemberFailure) => void;
}>;

/** One box's part in the list of boxes. */
export type Membership = Readonly<{
  /** For the follower of the boxes' table. */
  sink: FollowerSink;
  /** Puts the own row, until it is seen there. */
  join: () => void;
  /** Drops the own row; other boxes then stop telling this one. */
  leave: () => Promise<void>;
}>;

/** Pause before the own row is put again. */
const JOIN_PAUSE_MS = 2_000 as Ms;

/** Boxes whose rows are lost together put them again spread over so much time for each. */
const REJOIN_SPREAD_MS = 10;

/** Creates the membership of one box. */
export const createMembership = (options: MembershipOptions): Membership => {
  const { clock, random, writer, table, getOwn, limit, onPeers, onFailure } = options;
  let isListed = false;
  let isLeaving = false;

  const isSame = (peer: Peer) => {
    const { box, address } = getOwn();
    return (
      peer.box === box &&
      peer.address.host === address.host &&
      peer.address.port === address.port
    );
  };

  const join = async () => {
    if (isListed || isLeaving) return;
    const own = getOwn();
    const written = await writer.putRow({
      table,
      key: own.box,
      value: encodeMember(own),
      signal: AbortSignal.timeout(limit),
    });
    if (written.err) onFailure(written.val);
    clock.setTimer(JOIN_PAUSE_MS, () => void join());
  };

  const joinAgain = (boxes: number) => {
    const delay = random.nextFloat() * boxes * REJOIN_SPREAD_MS;
    clock.setTimer(delay as Ms, () => void join());
  };

  return {
    sink: createMemberSink({
      onMembers: (members) => {
        const wasListed = isListed;
        isListed = members.some(isSame);
        if (wasListed && !isListed) joinAgain(members.length + 1);
        onPeers(members);
      },
      onUnreadable: onFailure,
    }),
    join: () => void join(),
    leave: async () => {
      isLeaving = true;
      const signal = AbortSignal.timeout(limit);
      const dropped = await writer.dropRow({ table, key: getOwn().box, signal });
      if (dropped.err) onFailure(dropped.val);
    },
  };
};
