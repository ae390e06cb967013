/**
 * Which servers have named a limit, by what they say in their answers to this box and to others. A limit holds from the first answer
 * with it until an answer proves that the server no longer names it: one to a request that was sent long enough after the last
 * answer with the limit that any box is known to have had. Pure but for the clock handed in.
 */
import { assertNever, type BoxName, type Clock, type Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import {
  MIN_HOLD_MS,
  MIN_MEMORY_MS,
  MIN_SINGLE_HOLD_MS,
  MAX_SINGLE_HOLD_MS,
  NO_LIMIT_UPDATE,
  RETELL_MS,
  TELLING_ANSWERS,
} from "./constants.js";
import type {
  KnownLimit,
  LimitEvent,
  LimitUpdate,
  LimitSignal,
  SharedLimit,
} from "./types.js";

/** What a book is given. */
export type LimitRegistryOptions = Readonly<{
  /** A clock by which ages are proved. */
  clock: Pick<Clock, "monotonic">;
  /** Whether a server is listed: of others nothing is kept. */
  isListed: (server: ServerId) => boolean;
  /** This box has heard something that others are to know. */
  onOwnUpdate: (news: LimitUpdate) => void;
  /** Something is news here, whoever said so: boxes that hear this one alone need it, at once or, a renewal, in time. */
  onSharedUpdate: (news: LimitUpdate, isRenewal: boolean) => void;
  onEvent: (event: LimitEvent) => void;
}>;

/** The book of one box. */
export type LimitRegistry = Readonly<{
  /**
   * A server has answered this box; `sentAgo` is the time since its request was sent, undefined for calls in whose answers a server
   * may name a limit and need not.
   */
  applySignal: (server: ServerId, sign: LimitSignal, sentAgo: Ms | undefined) => void;
  /** Another box tells. */
  applyUpdate: (news: LimitUpdate, by: BoxName) => void;
  find: (server: ServerId) => KnownLimit | undefined;
  isEmpty: () => boolean;
  /** What is known of the servers given; of all, for a box that is new to this one. */
  makeUpdate: (servers?: Iterable<ServerId>) => LimitUpdate;
  forget: (server: ServerId) => void;
}>;

type Kept = Readonly<{
  perSecond: number;
  firstAt: number;
  lastAt: number;
  /** The `lastAt` that was handed on last. */
  sharedAt: number;
  /** Answers without it that this box has had since. */
  unnamed: number;
}>;

/** Something heard of a limit: when, and from whom. */
type Heard = Readonly<{
  server: ServerId;
  at: number;
  by: BoxName | "itself";
}>;

const MS_PER_S = 1_000;

const computeTellingTime = (perSecond: number): number =>
  (TELLING_ANSWERS / perSecond) * MS_PER_S;

/** Works out how long after the last answer with a limit a single answer without it says nothing. */
const computeSingleHold = (perSecond: number): number =>
  Math.min(
    MAX_SINGLE_HOLD_MS,
    Math.max(MIN_SINGLE_HOLD_MS, computeTellingTime(perSecond)),
  );

const computeMemory = (perSecond: number): number =>
  Math.max(MIN_MEMORY_MS, computeTellingTime(perSecond));

/** Creates an empty book. */
export const createLimitRegistry = (options: LimitRegistryOptions): LimitRegistry => {
  const { clock, isListed, onOwnUpdate, onSharedUpdate, onEvent } = options;
  const limits = new Map<ServerId, Kept>();
  /** When requests were sent whose answers lifted a limit: what was heard before and is told late says nothing. */
  const liftedAt = new Map<ServerId, number>();
  /** What servers have named last that is no limit, so that each is told once. */
  const unreadable = new Map<ServerId, string>();

  const toBox = (by: Heard["by"]) => (by === "itself" ? undefined : by);
  const tellNews = (news: LimitUpdate, by: Heard["by"], isRenewal = false) => {
    if (by === "itself") onOwnUpdate(news);
    onSharedUpdate(news, isRenewal);
  };

  const find = (server: ServerId): KnownLimit | undefined => {
    const kept = limits.get(server);
    if (!kept) return undefined;
    const now = clock.monotonic();
    const { perSecond } = kept;
    const age = Math.max(0, now - kept.lastAt) as Ms;
    if (age < computeMemory(perSecond))
      return { perSecond, knownFor: (now - kept.firstAt) as Ms, age };
    limits.delete(server);
    onEvent({ kind: "run_out", server, age });
    return undefined;
  };
  const makeUpdate: LimitRegistry["makeUpdate"] = (servers = limits.keys()) => {
    const named = [...servers].flatMap((server): readonly SharedLimit[] => {
      const known = find(server);
      return known ? [{ server, ...known }] : [];
    });
    return named.length > 0 ? { named, lifted: [] } : NO_LIMIT_UPDATE;
  };

  const recordNamed = (heard: Heard, perSecond: number, firstAt: number) => {
    const { server, at, by } = heard;
    const endedAt = liftedAt.get(server) ?? -Infinity;
    if (at <= endedAt) return;
    const known = find(server);
    const kept = limits.get(server);
    const isNewest = !kept || at >= kept.lastAt;
    const isChange = isNewest && known?.perSecond !== perSecond;
    const isDue = isChange || at - (kept?.sharedAt ?? -Infinity) >= RETELL_MS;
    limits.set(server, {
      perSecond: isNewest ? perSecond : kept.perSecond,
      // A box that has not heard of the end tells how long it has known the limit before.
      firstAt: Math.max(endedAt, Math.min(firstAt, kept?.firstAt ?? Infinity)),
      lastAt: Math.max(at, kept?.lastAt ?? -Infinity),
      sharedAt: isDue ? at : (kept?.sharedAt ?? -Infinity),
      unnamed: 0,
    });
    if (isChange) {
      const age = (clock.monotonic() - at) as Ms;
      const kind = known ? "changed" : "named";
      onEvent({ kind, server, perSecond, age, by: toBox(by) });
    }
    if (isDue) tellNews(makeUpdate([server]), by, !isChange);
  };

  /** A request that was sent so long after the last answer with the limit was answered without it. */
  const isProof = ({ perSecond, unnamed }: Kept, sentAfter: number): boolean => {
    const isRow = unnamed >= TELLING_ANSWERS;
    return sentAfter >= (isRow ? MIN_HOLD_MS : computeSingleHold(perSecond));
  };
  const takeUnnamed = (server: ServerId, sentAgo: Ms) => {
    const kept = find(server) && limits.get(server);
    if (!kept) return;
    const sentAt = clock.monotonic() - sentAgo;
    if (sentAt < kept.lastAt) return;
    const counted = { ...kept, unnamed: kept.unnamed + 1 };
    limits.set(server, counted);
    if (isProof(counted, sentAt - kept.lastAt))
      endLimit({ server, at: sentAt, by: "itself" });
  };
  /** Whoever tells it has the proof; it holds here if nothing was heard of the limit since. */
  const takeLift = ({ server, at: sentAt, by }: Heard) => {
    const kept = find(server) && limits.get(server);
    if (kept && sentAt - kept.lastAt >= MIN_HOLD_MS) endLimit({ server, at: sentAt, by });
  };
  const endLimit = ({ server, at: sentAt, by }: Heard) => {
    const known = find(server)!;
    limits.delete(server);
    liftedAt.set(server, sentAt);
    onEvent({ kind: "lifted", server, age: known.age, by: toBox(by) });
    const age = (clock.monotonic() - sentAt) as Ms;
    tellNews({ named: [], lifted: [{ server, age }] }, by);
  };

  const takeNamed = (server: ServerId, perSecond: number) => {
    const now = clock.monotonic();
    recordNamed({ server, at: now, by: "itself" }, perSecond, now);
  };
  /** The server goes on naming something: what is known holds on. */
  const takeUnreadable = (server: ServerId, text: string) => {
    const known = find(server);
    if (known) takeNamed(server, known.perSecond);
    if (unreadable.get(server) === text) return;
    unreadable.set(server, text);
    onEvent({ kind: "unreadable", server, text });
  };

  return {
    applySignal: (server, sign, sentAgo) => {
      switch (sign.kind) {
        case "named":
          takeNamed(server, sign.perSecond);
          return;
        case "unnamed":
          if (sentAgo !== undefined) takeUnnamed(server, sentAgo);
          return;
        case "unreadable":
          takeUnreadable(server, sign.text);
          return;
        default:
          assertNever(sign);
      }
    },
    applyUpdate: ({ named, lifted }, by) => {
      // Boxes tell each other of their runs all the time, and hardly ever of limits.
      if (named.length + lifted.length === 0) return;
      const now = clock.monotonic();
      for (const { server, perSecond, knownFor, age } of named)
        if (isListed(server))
          recordNamed({ server, at: now - age, by }, perSecond, now - knownFor);
      for (const { server, age } of lifted) takeLift({ server, at: now - age, by });
    },
    find,
    isEmpty: () => limits.size === 0,
    makeUpdate,
    forget: (server) => {
      const known = find(server);
      limits.delete(server);
      if (known) onEvent({ kind: "dropped", server, age: known.age });
      liftedAt.delete(server);
      unreadable.delete(server);
    },
  };
};
