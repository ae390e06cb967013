/**
 * Registry of the limits that servers name, from their answers to this box and to others.
 *
 * A limit holds from the first answer with it until an answer shows that the server no longer names
 * it: an answer to a request that was sent long enough after the last known answer with the limit
 * to any box. Pure but for the clock passed in.
 */
import { assertNever, type BoxName, type Clock, type Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import {
  MIN_HOLD_MS,
  MIN_MEMORY_MS,
  MIN_SINGLE_HOLD_MS,
  MAX_SINGLE_HOLD_MS,
  NO_LIMIT_UPDATE,
  RENEWAL_INTERVAL_MS,
  LIFTING_ANSWERS,
} from "./constants.js";
import type {
  KnownLimit,
  LimitEvent,
  LimitUpdate,
  LimitSignal,
  SharedLimit,
} from "./types.js";

/** Options of a limit registry. */
export type LimitRegistryOptions = Readonly<{
  /** Clock for ages. It must include the time in which the machine is suspended. */
  clock: Pick<Clock, "monotonic">;
  /**
   * Whether a server is listed. Limits that other boxes report for unlisted servers are ignored.
   */
  isListed: (server: ServerId) => boolean;
  /** This box has received something from a server that other boxes need. */
  onOwnUpdate: (update: LimitUpdate) => void;
  /**
   * Something new was recorded, from whichever source. Boxes that are connected to this one only
   * need it: at once, or later if it is a renewal.
   */
  onSharedUpdate: (update: LimitUpdate, isRenewal: boolean) => void;
  onEvent: (event: LimitEvent) => void;
}>;

/** The limits on record at one box. */
export type LimitRegistry = Readonly<{
  /**
   * Handles a server's answer to this box. `sentAgo` is the time since its request was sent;
   * undefined for calls in whose answers the server may omit its limit.
   */
  applySignal: (server: ServerId, signal: LimitSignal, sentAgo: Ms | undefined) => void;
  /** Handles an update from another box. */
  applyUpdate: (update: LimitUpdate, by: BoxName) => void;
  find: (server: ServerId) => KnownLimit | undefined;
  isEmpty: () => boolean;
  /**
   * Makes an update with the limits on record of the servers given, or of all servers, for a newly
   * connected box.
   */
  makeUpdate: (servers?: Iterable<ServerId>) => LimitUpdate;
  forget: (server: ServerId) => void;
}>;

type LimitRecord = Readonly<{
  perSecond: number;
  firstAt: number;
  lastAt: number;
  /** The `lastAt` that was last sent to other boxes. */
  sharedAt: number;
  /** Answers without the limit that this box has received since `lastAt`. */
  unnamed: number;
}>;

/** When a limit or its end was observed, and by whom. */
type Observation = Readonly<{
  server: ServerId;
  at: number;
  by: BoxName | "itself";
}>;

const MS_PER_S = 1_000;

const computeLiftingTime = (perSecond: number): number =>
  (LIFTING_ANSWERS / perSecond) * MS_PER_S;

/**
 * Computes for how long after the last answer with a limit a single answer without it is not enough
 * to lift it.
 */
const computeSingleHold = (perSecond: number): number =>
  Math.min(
    MAX_SINGLE_HOLD_MS,
    Math.max(MIN_SINGLE_HOLD_MS, computeLiftingTime(perSecond)),
  );

const computeMemory = (perSecond: number): number =>
  Math.max(MIN_MEMORY_MS, computeLiftingTime(perSecond));

/** Creates an empty registry. */
export const createLimitRegistry = (options: LimitRegistryOptions): LimitRegistry => {
  const { clock, isListed, onOwnUpdate, onSharedUpdate, onEvent } = options;
  const limits = new Map<ServerId, LimitRecord>();
  /**
   * When the requests were sent whose answers lifted a limit. Observations from before that arrive
   * late are ignored.
   */
  const liftedAt = new Map<ServerId, number>();
  /** The last invalid limit that each server named, so that each is reported once. */
  const unreadable = new Map<ServerId, string>();

  const toBox = (by: Observation["by"]) => (by === "itself" ? undefined : by);
  const publishUpdate = (
    update: LimitUpdate,
    by: Observation["by"],
    isRenewal = false,
  ) => {
    if (by === "itself") onOwnUpdate(update);
    onSharedUpdate(update, isRenewal);
  };

  const find = (server: ServerId): KnownLimit | undefined => {
    const record = limits.get(server);
    if (!record) return undefined;
    const now = clock.monotonic();
    const { perSecond } = record;
    const age = Math.max(0, now - record.lastAt) as Ms;
    if (age < computeMemory(perSecond))
      return { perSecond, knownFor: (now - record.firstAt) as Ms, age };
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

  const recordNamed = (observation: Observation, perSecond: number, firstAt: number) => {
    const { server, at, by } = observation;
    const liftedBefore = liftedAt.get(server) ?? -Infinity;
    if (at <= liftedBefore) return;
    const known = find(server);
    const record = limits.get(server);
    const isNewest = !record || at >= record.lastAt;
    const isChange = isNewest && known?.perSecond !== perSecond;
    const isDue = isChange || at - (record?.sharedAt ?? -Infinity) >= RENEWAL_INTERVAL_MS;
    limits.set(server, {
      perSecond: isNewest ? perSecond : record.perSecond,
      // A box that has not received the lift reports how long it has had the limit before.
      firstAt: Math.max(liftedBefore, Math.min(firstAt, record?.firstAt ?? Infinity)),
      lastAt: Math.max(at, record?.lastAt ?? -Infinity),
      sharedAt: isDue ? at : (record?.sharedAt ?? -Infinity),
      unnamed: 0,
    });
    if (isChange) {
      const age = (clock.monotonic() - at) as Ms;
      const kind = known ? "changed" : "named";
      onEvent({ kind, server, perSecond, age, by: toBox(by) });
    }
    if (isDue) publishUpdate(makeUpdate([server]), by, !isChange);
  };

  /**
   * Whether an answer without the limit lifts it, by the time from the last answer with it to the
   * sending of the request.
   */
  const isProof = ({ perSecond, unnamed }: LimitRecord, sentAfter: number): boolean => {
    const isEnoughInARow = unnamed >= LIFTING_ANSWERS;
    return sentAfter >= (isEnoughInARow ? MIN_HOLD_MS : computeSingleHold(perSecond));
  };
  const handleUnnamed = (server: ServerId, sentAgo: Ms) => {
    const record = find(server) && limits.get(server);
    if (!record) return;
    const sentAt = clock.monotonic() - sentAgo;
    if (sentAt < record.lastAt) return;
    const counted = { ...record, unnamed: record.unnamed + 1 };
    limits.set(server, counted);
    if (isProof(counted, sentAt - record.lastAt))
      endLimit({ server, at: sentAt, by: "itself" });
  };
  /**
   * Applies a lift that another box has proved, unless this box has a later answer with the limit.
   */
  const applyLift = ({ server, at: sentAt, by }: Observation) => {
    const record = find(server) && limits.get(server);
    if (record && sentAt - record.lastAt >= MIN_HOLD_MS)
      endLimit({ server, at: sentAt, by });
  };
  const endLimit = ({ server, at: sentAt, by }: Observation) => {
    const known = find(server)!;
    limits.delete(server);
    liftedAt.set(server, sentAt);
    onEvent({ kind: "lifted", server, age: known.age, by: toBox(by) });
    const age = (clock.monotonic() - sentAt) as Ms;
    publishUpdate({ named: [], lifted: [{ server, age }] }, by);
  };

  const handleNamed = (server: ServerId, perSecond: number) => {
    const now = clock.monotonic();
    recordNamed({ server, at: now, by: "itself" }, perSecond, now);
  };
  /** Handles an invalid limit. The server still names one, so the limit on record is renewed. */
  const handleUnreadable = (server: ServerId, text: string) => {
    const known = find(server);
    if (known) handleNamed(server, known.perSecond);
    if (unreadable.get(server) === text) return;
    unreadable.set(server, text);
    onEvent({ kind: "unreadable", server, text });
  };

  return {
    applySignal: (server, signal, sentAgo) => {
      switch (signal.kind) {
        case "named":
          handleNamed(server, signal.perSecond);
          return;
        case "unnamed":
          if (sentAgo !== undefined) handleUnnamed(server, sentAgo);
          return;
        case "unreadable":
          handleUnreadable(server, signal.text);
          return;
        default:
          assertNever(signal);
      }
    },
    applyUpdate: ({ named, lifted }, by) => {
      // Boxes exchange updates on their runs all the time; updates on limits are rare.
      if (named.length + lifted.length === 0) return;
      const now = clock.monotonic();
      for (const { server, perSecond, knownFor, age } of named)
        if (isListed(server))
          recordNamed({ server, at: now - age, by }, perSecond, now - knownFor);
      for (const { server, age } of lifted) applyLift({ server, at: now - age, by });
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
