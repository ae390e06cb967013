/**
 * How many requests this box may still send to a server that has named a limit. All boxes together send as many as the server
 * takes: each has its part of a whole number of requests in a span of some seconds, by its place in the list of boxes, so that the
 * parts add up with no talk between boxes, and a part below one falls to as many boxes as there are requests.
 */
import type { Clock, Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { ONSET_EXTRA, ONSET_MS, QUIET_FROM_MS, SPAN_SECONDS } from "./constants.js";
import type { KnownLimit } from "./types.js";

/** What all boxes together may send in any span. */
export type LimitQuota = Readonly<{ whole: number; span: Ms }>;

/** What this box may send, and has sent. */
export type LimitRoom = Readonly<{
  part: number;
  used: number;
  span: Ms;
  /** Time until the next request may go; none where this box has no part. */
  freeIn: Ms | undefined;
}>;

/** What a box counts. */
export type LimitRooms = Readonly<{
  /** A request goes to the server. */
  record: (server: ServerId, quota: LimitQuota) => void;
  /** `part` is this box's part of the quota. */
  judge: (server: ServerId, quota: LimitQuota, part: number) => LimitRoom;
  forget: (server: ServerId) => void;
}>;

const MS_PER_S = 1_000;

/** A box that has several requests in a span sends them no closer together than this share of their mean distance. */
const MIN_DISTANCE = 0.5;

/** Works out what all boxes together may send. */
export const computeQuota = ({
  perSecond,
  knownFor,
}: Pick<KnownLimit, "perSecond" | "knownFor">): LimitQuota => {
  if (knownFor < ONSET_MS) {
    const isQuiet = knownFor >= QUIET_FROM_MS;
    return {
      whole: isQuiet ? 0 : Math.floor(perSecond + ONSET_EXTRA),
      span: ONSET_MS,
    };
  }
  // In whole requests, over as long as the server takes for them: nothing is lost to rounding.
  const whole = Math.ceil(perSecond * SPAN_SECONDS);
  return { whole, span: ((whole / perSecond) * MS_PER_S) as Ms };
};

/** Creates a count of nothing. */
export const createLimitRooms = (clock: Pick<Clock, "monotonic">): LimitRooms => {
  const sentAt = new Map<ServerId, readonly Ms[]>();

  const listRecent = (server: ServerId, span: Ms): readonly Ms[] => {
    const start = clock.monotonic() - span;
    const recent = (sentAt.get(server) ?? []).filter((at) => at > start);
    sentAt.set(server, recent);
    return recent;
  };
  const computeFreeAt = (recent: readonly Ms[], { part, used, span }: LimitRoom) => {
    const latest = recent.at(-1);
    if (latest === undefined) return 0;
    const next = latest + (span * MIN_DISTANCE) / part;
    return used < part ? next : Math.max(next, recent[used - part]! + span);
  };

  return {
    record: (server, { span }) => {
      sentAt.set(server, [...listRecent(server, span), clock.monotonic()]);
    },
    judge: (server, { span }, part) => {
      const recent = listRecent(server, span);
      const room = { part, used: recent.length, span, freeIn: undefined };
      if (part <= 0) return room;
      const freeIn = Math.max(0, computeFreeAt(recent, room) - clock.monotonic()) as Ms;
      return { ...room, freeIn };
    },
    forget: (server) => void sentAt.delete(server),
  };
};
