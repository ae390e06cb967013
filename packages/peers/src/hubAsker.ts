/**
 * Sends questions to the first hub, which all boxes ask. The answer is advice: a box that gets none in time decides from its
 * own state, and asks the next hub for a while.
 */
import { runWithin, type BoxName, type Clock, type Ms } from "@stairgauge/common";
import type { PeerCall, PeerLinks } from "./peerLinks.js";

/** Options of a hub asker. */
export type HubAskerOptions = Readonly<{
  clock: Clock;
  links: Pick<PeerLinks, "isHub" | "listHubs" | "listConnected">;
  /** A hub did not answer in time, and is not asked for a while. */
  onEjected: (box: BoxName) => void;
}>;

/** A question, and the call that sends it. */
export type HubQuestion<Question, Answer> = Readonly<{
  call: PeerCall<Question, Answer>;
  question: Question;
  /** Time limit of the answer. */
  limit: Ms;
  signal: AbortSignal;
  /** Any box by default. */
  scope?: AskScope | undefined;
}>;

/** An answer, and the hub that gave it. */
export type HubAnswer<Answer> = Readonly<{ answer: Answer; by: BoxName }>;

/** Sends questions to the first hub. */
export type HubAsker = Readonly<{
  /** Whether a hub has more complete data than this box: the box is no hub itself, and a hub can be asked. */
  isNeeded: () => boolean;
  /** Resolves to the hub's answer, or undefined if there is none in time. */
  ask: <Question, Answer>(
    question: HubQuestion<Question, Answer>,
  ) => Promise<HubAnswer<Answer> | undefined>;
}>;

/** How long a hub that gave no answer is not asked. */
const EJECTION_MS = 3_000;

/** Which boxes may be asked: the next one while the first is ejected, or the first only. */
export type AskScope = "any" | "first_only";

type EjectingOptions = Pick<HubAskerOptions, "clock" | "onEjected"> &
  Readonly<{
    /** Returns the first box that `isUsable`; undefined if there is none. */
    find: (isUsable: (box: BoxName) => boolean) => BoxName | undefined;
  }>;

/** Creates an asker that does not ask a box for a while after it gave no answer in time. */
export const createEjectingAsker = ({ clock, onEjected, find }: EjectingOptions) => {
  const ejectedUntil = new Map<BoxName, number>();

  const isUsable = (box: BoxName) =>
    (ejectedUntil.get(box) ?? -Infinity) <= clock.monotonic();
  const findHub = (scope: AskScope = "any") => {
    if (scope === "any") return find(isUsable);
    const first = find(() => true);
    return first !== undefined && isUsable(first) ? first : undefined;
  };

  const ask: HubAsker["ask"] = async ({ call, question, limit, signal, scope }) => {
    const hub = findHub(scope);
    if (hub === undefined) return undefined;
    const askedAt = clock.monotonic();
    const read = await runWithin(clock, limit, (timeLimit) =>
      call(hub, question, AbortSignal.any([signal, timeLimit])),
    );
    // After this process was suspended, the answer may be too old to use: others have since taken its share of a limit.
    const isLate = clock.monotonic() - askedAt > limit;
    if (read.ok && !isLate) return { answer: read.val, by: hub };
    if (signal.aborted || !isUsable(hub)) return undefined;
    ejectedUntil.set(hub, clock.monotonic() + EJECTION_MS);
    onEjected(hub);
    return undefined;
  };
  return { findHub, ask };
};

/** Creates a hub asker. */
export const createHubAsker = (options: HubAskerOptions): HubAsker => {
  const { links } = options;
  const asker = createEjectingAsker({
    ...options,
    find: (isUsable) => {
      if (links.isHub()) return undefined;
      const up = new Set(links.listConnected().map(({ box }) => box));
      return links.listHubs().find((box) => up.has(box) && isUsable(box));
    },
  });
  return { isNeeded: () => asker.findHub() !== undefined, ask: asker.ask };
};
