/** Order in which waiting requests of one service are placed. Pure but for the times passed in. */
import type { Ms } from "@stairgauge/common";
import type { FairShares } from "./fairShares.js";
import type { AdmissionEntry, PlainEntry } from "./types.js";

/** A waiting request; `sequence` counts up with each. */
export type Waiting = Readonly<{
  entry: AdmissionEntry;
  sequence: number;
  addedAt: Ms;
}>;

/** Latest time at which the request can be sent so that its answer arrives before the deadline. */
export const getLatestStart = ({ endsAt, workMs }: PlainEntry): Ms =>
  (endsAt - workMs) as Ms;

/** Whether the request can still be answered within its target, if it is placed now. */
const canMeetAim = ({ aimAt, workMs }: PlainEntry, now: Ms): boolean =>
  now + workMs <= aimAt;

/**
 * Requests that can be answered within their target go before those that cannot, whose delay is
 * already lost; among each kind the earliest deadline goes first.
 */
const comparePlain = (a: PlainEntry, b: PlainEntry, now: Ms): number => {
  const isMet = canMeetAim(a, now);
  if (isMet !== canMeetAim(b, now)) return isMet ? -1 : 1;
  return isMet ? a.aimAt - b.aimAt : a.endsAt - b.endsAt;
};

const compareEntries = (a: AdmissionEntry, b: AdmissionEntry, now: Ms): number =>
  a.kind === "plain" && b.kind === "plain" ? comparePlain(a, b, now) : 0;

/** Negative if `a` goes before `b`: by tier, fair share, target and deadline, and arrival. */
const compareWaiting = (a: Waiting, b: Waiting, shares: FairShares, now: Ms): number =>
  a.entry.tier - b.entry.tier ||
  shares.compare(a.entry, b.entry, now) ||
  compareEntries(a.entry, b.entry, now) ||
  a.sequence - b.sequence;

/** Finds the request that goes first; undefined if there is none. */
export const findFirst = (
  all: Iterable<Waiting>,
  shares: FairShares,
  now: Ms,
): Waiting | undefined => {
  let first: Waiting | undefined;
  for (const waiting of all)
    if (!first || compareWaiting(waiting, first, shares, now) < 0) first = waiting;
  return first;
};

/** Number of waiting requests of another workspace, and its usage. */
type OtherWorkspace = { waiting: number; readonly usage: number };

/**
 * Number of the other workspace's requests that are placed before the own one, which is number
 * `turn` of its workspace: as many as bring the other to the usage that the own one has then.
 */
const countOvertaking = (
  { waiting, usage }: OtherWorkspace,
  own: Readonly<{ usage: number; turn: number; cost: number }>,
): number => {
  const turns = own.turn + (own.usage - usage) / Math.max(own.cost, Number.MIN_VALUE);
  return Math.min(waiting, Math.max(0, Math.floor(turns)));
};

/**
 * Estimates how many of the requests that wait are placed before the given one. Those of its own
 * workspace are counted in order; those of others take turns with them.
 */
export const estimatePosition = (
  own: Waiting,
  others: Iterable<Waiting>,
  shares: FairShares,
  now: Ms,
): number => {
  const { tier, workspace, cost } = own.entry;
  const workspaces = new Map<string, OtherWorkspace>();
  let moreUrgent = 0;
  let ofOwn = 0;
  for (const other of others) {
    if (other === own || other.entry.tier > tier) continue;
    if (other.entry.tier < tier) moreUrgent += 1;
    else if (other.entry.workspace === workspace) {
      if (compareWaiting(other, own, shares, now) < 0) ofOwn += 1;
    } else {
      const known = workspaces.get(other.entry.workspace);
      if (known) known.waiting += 1;
      else {
        const usage = shares.getUsage(other.entry, now).workspace;
        workspaces.set(other.entry.workspace, { waiting: 1, usage });
      }
    }
  }
  const usage = shares.getUsage(own.entry, now).workspace;
  const at = { usage, turn: ofOwn + 1, cost };
  const ofOthers = [...workspaces.values()].map((one) => countOvertaking(one, at));
  return ofOthers.reduce((sum, count) => sum + count, moreUrgent + ofOwn);
};
