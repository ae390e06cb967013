/**
 * How many requests this box may still send to a server that has named a limit.
 *
 * All boxes together send as many requests as the server accepts. Each box gets a whole number of
 * requests per span of some seconds, computed from its position in the list of boxes. So the parts
 * add up without messages between the boxes. If there are more boxes than requests, only as many
 * boxes as there are requests get one each.
 */
import type { Clock, Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { ONSET_EXTRA, ONSET_MS, PAUSE_FROM_MS, SPAN_SECONDS } from "./constants.js";
import type { KnownLimit } from "./types.js";

/** Number of requests that all boxes together may send in any span of the given length. */
export type LimitQuota = Readonly<{ whole: number; span: Ms }>;

/** What this box may send to a server in a span, and what it has sent in the last one. */
export type SendBudget = Readonly<{
  part: number;
  used: number;
  span: Ms;
  /** Time until the next request may be sent; undefined if this box has no part of the quota. */
  freeIn: Ms | undefined;
}>;

/** Counts the requests that this box sends to limited servers. */
export type SendBudgets = Readonly<{
  /** Records a request sent to the server. */
  record: (server: ServerId, quota: LimitQuota) => void;
  /** `part` is this box's part of the quota. */
  compute: (server: ServerId, quota: LimitQuota, part: number) => SendBudget;
  forget: (server: ServerId) => void;
}>;

const MS_PER_S = 1_000;

/** Least distance between two requests of this box, as a share of the mean distance in a span. */
const MIN_DISTANCE = 0.5;

/** Computes what all boxes together may send. */
export const computeQuota = ({
  perSecond,
  knownFor,
}: Pick<KnownLimit, "perSecond" | "knownFor">): LimitQuota => {
  if (knownFor < ONSET_MS) {
    const isQuiet = knownFor >= PAUSE_FROM_MS;
    return {
      whole: isQuiet ? 0 : Math.floor(perSecond + ONSET_EXTRA),
      span: ONSET_MS,
    };
  }
  // The span is as long as the server takes for the whole number of requests, so rounding loses
  // nothing.
  const whole = Math.ceil(perSecond * SPAN_SECONDS);
  return { whole, span: ((whole / perSecond) * MS_PER_S) as Ms };
};

/** Creates the counter, with no requests recorded. */
export const createSendBudgets = (clock: Pick<Clock, "monotonic">): SendBudgets => {
  const sentAt = new Map<ServerId, readonly Ms[]>();

  const listRecent = (server: ServerId, span: Ms): readonly Ms[] => {
    const start = clock.monotonic() - span;
    const recent = (sentAt.get(server) ?? []).filter((at) => at > start);
    sentAt.set(server, recent);
    return recent;
  };
  const computeFreeAt = (recent: readonly Ms[], { part, used, span }: SendBudget) => {
    const latest = recent.at(-1);
    if (latest === undefined) return 0;
    const next = latest + (span * MIN_DISTANCE) / part;
    return used < part ? next : Math.max(next, recent[used - part]! + span);
  };

  return {
    record: (server, { span }) => {
      sentAt.set(server, [...listRecent(server, span), clock.monotonic()]);
    },
    compute: (server, { span }, part) => {
      const recent = listRecent(server, span);
      const budget = { part, used: recent.length, span, freeIn: undefined };
      if (part <= 0) return budget;
      const freeIn = Math.max(0, computeFreeAt(recent, budget) - clock.monotonic()) as Ms;
      return { ...budget, freeIn };
    },
    forget: (server) => void sentAt.delete(server),
  };
};
