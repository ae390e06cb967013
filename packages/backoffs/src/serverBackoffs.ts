/**
 * Keeps the backoffs that servers asked this box for, and limits requests during and after them. A
 * backoff concerns one server and one box: other boxes are not affected and it is not shared with them.
 * It ends only when its time is over. A restarted server has a new id and thus no backoff.
 * Pure apart from the given clock and random source.
 */
import type { Clock, Ms, Random } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import {
  INITIAL_OPEN,
  MAX_BACKOFF_MS,
  MAX_DURING_BACKOFF,
  MAX_SPREAD_MS,
  RECOVERED_OPEN,
  SPREAD_SHARE,
} from "./constants.js";
import type { BackoffEvent } from "./types.js";

/** Options of the backoffs. */
export type ServerBackoffsOptions = Readonly<{
  /** A monotonic clock, so that a suspended box backs off longer than asked, never shorter. */
  clock: Pick<Clock, "monotonic">;
  random: Pick<Random, "nextFloat">;
  onEvent: (event: BackoffEvent) => void;
}>;

/** The backoffs of one box. */
export type ServerBackoffs = Readonly<{
  /** Starts or prolongs the backoff of a server that rejected a request and asked for it. */
  begin: (server: ServerId, duration: Ms) => void;
  /** Records an answer without a backoff to a request that was sent `sentAgo` ago. */
  recordAnswer: (server: ServerId, sentAgo: Ms) => void;
  /** Whether the server may be sent a request, given the number of this box's open requests there. */
  mayReceive: (server: ServerId, open: number) => boolean;
  isBackingOff: (server: ServerId) => boolean;
  /** Whether the server may be sent one of the few requests allowed during a backoff; always true without a backoff. */
  takeDuringBackoff: (server: ServerId) => boolean;
  /** Servers whose backoff is not over. */
  listBackingOff: () => readonly ServerId[];
  /** Retry delay of a client that was refused because of the backoffs of these servers. */
  computeRetryAfter: (servers: readonly ServerId[]) => Ms;
  forget: (server: ServerId) => void;
}>;

type Backoff = Readonly<{
  /** When this box resumes, on the monotonic clock. */
  until: number;
  sentDuringBackoff: number;
  isOver: boolean;
  /** Open requests allowed at the server after the backoff. */
  maxOpen: number;
}>;

/** Creates an empty set of backoffs. */
export const createServerBackoffs = (options: ServerBackoffsOptions): ServerBackoffs => {
  const { clock, random, onEvent } = options;
  const backoffs = new Map<ServerId, Backoff>();

  const computeSpread = (duration: Ms) =>
    random.nextFloat() * Math.min(duration * SPREAD_SHARE, MAX_SPREAD_MS);

  const begin: ServerBackoffs["begin"] = (server, asked) => {
    const duration = Math.min(asked, MAX_BACKOFF_MS) as Ms;
    const active = findActive(server);
    const until = clock.monotonic() + duration + computeSpread(duration);
    // A shorter backoff does not shorten an earlier, longer one.
    if (active && active.until >= until) return;
    const sentDuringBackoff = active?.sentDuringBackoff ?? 0;
    backoffs.set(server, {
      until,
      sentDuringBackoff,
      isOver: false,
      maxOpen: INITIAL_OPEN,
    });
    const kind = active ? "prolonged" : "asked";
    onEvent({ kind, server, duration, until: until as Ms });
  };

  const findBackoff = (server: ServerId): Backoff | undefined => {
    const backoff = backoffs.get(server);
    if (!backoff || backoff.isOver || clock.monotonic() < backoff.until) return backoff;
    const over = { ...backoff, isOver: true };
    backoffs.set(server, over);
    onEvent({ kind: "over", server });
    return over;
  };
  const findActive = (server: ServerId): Backoff | undefined => {
    const backoff = findBackoff(server);
    return backoff?.isOver ? undefined : backoff;
  };
  const isBackingOff = (server: ServerId) => findActive(server) !== undefined;

  const recordAnswer: ServerBackoffs["recordAnswer"] = (server, sentAgo) => {
    const backoff = findBackoff(server);
    if (!backoff?.isOver || clock.monotonic() - sentAgo < backoff.until) return;
    const maxOpen = backoff.maxOpen * 2;
    if (maxOpen >= RECOVERED_OPEN) backoffs.delete(server);
    else backoffs.set(server, { ...backoff, maxOpen });
  };

  const computeRetryAfter: ServerBackoffs["computeRetryAfter"] = (servers) => {
    const now = clock.monotonic();
    const waits = servers.map((server) => (findBackoff(server)?.until ?? now) - now);
    const wait = Math.max(0, Math.min(...waits));
    // Without the random part, clients that were refused one after another would all retry at the same time.
    return Math.ceil(wait + random.nextFloat() * Math.min(wait, MAX_SPREAD_MS)) as Ms;
  };

  return {
    begin,
    recordAnswer,
    mayReceive: (server, open) => {
      const backoff = findBackoff(server);
      return !backoff || (backoff.isOver && open < backoff.maxOpen);
    },
    isBackingOff,
    takeDuringBackoff: (server) => {
      const active = findActive(server);
      if (!active) return true;
      if (active.sentDuringBackoff >= MAX_DURING_BACKOFF) return false;
      backoffs.set(server, {
        ...active,
        sentDuringBackoff: active.sentDuringBackoff + 1,
      });
      return true;
    },
    listBackingOff: () => [...backoffs.keys()].filter(isBackingOff),
    computeRetryAfter,
    forget: (server) => void backoffs.delete(server),
  };
};
