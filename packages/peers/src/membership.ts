/** Writes this box's row to the table of boxes in the store, and reads the rows of the others. */
import { runWithin, type Clock, type Ms, type Random } from "@stairgauge/common";
import type { FollowerSink, StoreWriteFailure, StoreWriter } from "@stairgauge/storefeed";
import { createMemberSink, encodeMember, type MemberFailure } from "./memberSink.js";
import type { Peer } from "./types.js";

/** Options of a membership. */
export type MembershipOptions = Readonly<{
  clock: Clock;
  random: Random;
  writer: StoreWriter;
  table: string;
  /** This box; called only once it accepts calls of others. */
  getOwn: () => Peer;
  /** Time limit of a write. */
  limit: Ms;
  onPeers: (peers: readonly Peer[]) => void;
  onFailure: (failure: StoreWriteFailure | MemberFailure) => void;
}>;

/** The membership of one box in the table of boxes. */
export type Membership = Readonly<{
  /** For the follower of the table. */
  sink: FollowerSink;
  /** Writes the own row, and repeats that until the row is seen in the table. */
  join: () => void;
  /** Drops the own row; other boxes then stop sending to this one. */
  leave: () => Promise<void>;
}>;

/** Pause before the own row is written again. */
const JOIN_PAUSE_MS = 2_000 as Ms;

/** When the rows of many boxes are lost together, the boxes write them again spread over this time per box. */
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
    try {
      const own = getOwn();
      const row = { table, key: own.box, value: encodeMember(own) };
      const written = await runWithin(clock, limit, (signal) =>
        writer.putRow({ ...row, signal }),
      );
      if (written.err) onFailure(written.val);
    } finally {
      clock.setTimer(JOIN_PAUSE_MS, () => void join());
    }
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
      const dropped = await runWithin(clock, limit, (signal) =>
        writer.dropRow({ table, key: getOwn().box, signal }),
      );
      if (dropped.err) onFailure(dropped.val);
    },
  };
};
