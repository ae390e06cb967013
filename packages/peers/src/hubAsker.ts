/**
 * Asks the hub that all boxes ask first. What it answers is advice: a box that gets none in time decides by what it knows
 * itself, and asks the next hub for a while.
 */
import type { BoxName, Clock, Ms } from "@stairgauge/common";
import type { Asking, PeerLinks } from "./peerLinks.js";

/** What asking needs. */
export type HubAskerOptions = Readonly<{
  clock: Clock;
  links: Pick<PeerLinks, "isHub" | "listHubs" | "listUp">;
  /** A hub did not answer in time, and is passed over for a while. */
  onPassedOver: (box: BoxName) => void;
}>;

/** One question, with the call that asks it. */
export type HubQuestion<Question, Answer> = Readonly<{
  call: Asking<Question, Answer>;
  question: Question;
  /** How long the answer may take. */
  limit: Ms;
  signal: AbortSignal;
}>;

/** An answer and who gave it. */
export type HubAnswer<Answer> = Readonly<{ answer: Answer; by: BoxName }>;

/** Asks hubs. */
export type HubAsker = Readonly<{
  /** Whether others see more than this box: it is no hub, and one can be asked. */
  isNeeded: () => boolean;
  /** The first hub's answer, or none. */
  ask: <Question, Answer>(
    question: HubQuestion<Question, Answer>,
  ) => Promise<HubAnswer<Answer> | undefined>;
}>;

/** How long a hub that gave no answer is passed over. */
const PASSED_OVER_MS = 3_000;

/** Creates the asker. */
export const createHubAsker = (options: HubAskerOptions): HubAsker => {
  const { clock, links, onPassedOver } = options;
  const passedOverUntil = new Map<BoxName, number>();

  const isTrusted = (box: BoxName) =>
    (passedOverUntil.get(box) ?? -Infinity) <= clock.monotonic();
  const findHub = () => {
    if (links.isHub()) return undefined;
    const up = new Set(links.listUp().map(({ box }) => box));
    return links.listHubs().find((box) => up.has(box) && isTrusted(box));
  };

  return {
    isNeeded: () => findHub() !== undefined,
    ask: async ({ call, question, limit, signal }) => {
      const hub = findHub();
      if (hub === undefined) return undefined;
      const within = new AbortController();
      const askedAt = clock.monotonic();
      const timer = clock.setTimer(limit, () => within.abort());
      const read = await call(hub, question, AbortSignal.any([signal, within.signal]));
      timer.cancel();
      // A process that was held up finds an answer that is too old to act on: its part of a bound is others' by now.
      const isLate = clock.monotonic() - askedAt > limit;
      if (read.ok && !isLate) return { answer: read.val, by: hub };
      if (signal.aborted || !isTrusted(hub)) return undefined;
      passedOverUntil.set(hub, clock.monotonic() + PASSED_OVER_MS);
      onPassedOver(hub);
      return undefined;
    },
  };
};
