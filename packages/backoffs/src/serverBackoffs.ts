/**
 * Which servers have asked this box for rest, and how it comes back to them. A rest is between one server and one box: other boxes
 * may go on, and no part of it is told. It ends by its time alone, or by a new start of the server, which is another one.
 * Pure but for the clock and the draws handed in.
 */
import type { Clock, Ms, Random } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import {
  FIRST_OPEN,
  MAX_REST_MS,
  MAX_SPARED,
  MAX_SPREAD_MS,
  RETURNED_OPEN,
  SPREAD_SHARE,
} from "./constants.js";
import type { BackoffEvent } from "./types.js";

/** What the rests need. */
export type ServerBackoffsOptions = Readonly<{
  /** The steady clock: a box that was suspended rests longer than it was asked, never shorter. */
  clock: Pick<Clock, "monotonic">;
  random: Pick<Random, "nextFloat">;
  onEvent: (event: BackoffEvent) => void;
}>;

/** The rests of one box. */
export type ServerBackoffs = Readonly<{
  /** A server has turned a request away, and asks for rest. */
  begin: (server: ServerId, duration: Ms) => void;
  /** A server has answered a request without asking for rest; the request was sent so long ago. */
  recordAnswer: (server: ServerId, sentAgo: Ms) => void;
  /** Whether a server may be sent a request, with so many of this box's open there. */
  mayTake: (server: ServerId, open: number) => boolean;
  isResting: (server: ServerId) => boolean;
  /** Takes one of the few requests that a server in rest may be sent; always yes at one that doesn't rest. */
  takeSpared: (server: ServerId) => boolean;
  /** Servers that rest now. */
  listResting: () => readonly ServerId[];
  /** When a client that was refused for these servers' rest should come back. */
  computeRetryAfter: (servers: readonly ServerId[]) => Ms;
  forget: (server: ServerId) => void;
}>;

type Rest = Readonly<{
  /** When this box comes back. */
  until: number;
  spared: number;
  isOver: boolean;
  /** Requests that may be open at the server once the rest is over. */
  mostOpen: number;
}>;

/** Creates the rests; no server has asked for any. */
export const createServerBackoffs = (options: ServerBackoffsOptions): ServerBackoffs => {
  const { clock, random, onEvent } = options;
  const rests = new Map<ServerId, Rest>();

  const computeSpread = (duration: Ms) =>
    random.nextFloat() * Math.min(duration * SPREAD_SHARE, MAX_SPREAD_MS);

  const begin: ServerBackoffs["begin"] = (server, asked) => {
    const duration = Math.min(asked, MAX_REST_MS) as Ms;
    const resting = findResting(server);
    const until = clock.monotonic() + duration + computeSpread(duration);
    // Each answer asks for a time of its own: a shorter one takes nothing from a longer one before it.
    if (resting && resting.until >= until) return;
    const spared = resting?.spared ?? 0;
    rests.set(server, { until, spared, isOver: false, mostOpen: FIRST_OPEN });
    const kind = resting ? "prolonged" : "asked";
    onEvent({ kind, server, duration, until: until as Ms });
  };

  const findRest = (server: ServerId): Rest | undefined => {
    const rest = rests.get(server);
    if (!rest || rest.isOver || clock.monotonic() < rest.until) return rest;
    const over = { ...rest, isOver: true };
    rests.set(server, over);
    onEvent({ kind: "over", server });
    return over;
  };
  const findResting = (server: ServerId): Rest | undefined => {
    const rest = findRest(server);
    return rest?.isOver ? undefined : rest;
  };
  const isResting = (server: ServerId) => findResting(server) !== undefined;

  const recordAnswer: ServerBackoffs["recordAnswer"] = (server, sentAgo) => {
    const rest = findRest(server);
    if (!rest?.isOver || clock.monotonic() - sentAgo < rest.until) return;
    const mostOpen = rest.mostOpen * 2;
    if (mostOpen >= RETURNED_OPEN) rests.delete(server);
    else rests.set(server, { ...rest, mostOpen });
  };

  const computeRetryAfter: ServerBackoffs["computeRetryAfter"] = (servers) => {
    const now = clock.monotonic();
    const waits = servers.map((server) => (findRest(server)?.until ?? now) - now);
    const wait = Math.max(0, Math.min(...waits));
    // Clients that were refused one after the other would all come back in the same instant.
    return Math.ceil(wait + random.nextFloat() * Math.min(wait, MAX_SPREAD_MS)) as Ms;
  };

  return {
    begin,
    recordAnswer,
    mayTake: (server, open) => {
      const rest = findRest(server);
      return !rest || (rest.isOver && open < rest.mostOpen);
    },
    isResting,
    takeSpared: (server) => {
      const resting = findResting(server);
      if (!resting) return true;
      if (resting.spared >= MAX_SPARED) return false;
      rests.set(server, { ...resting, spared: resting.spared + 1 });
      return true;
    },
    listResting: () => [...rests.keys()].filter(isResting),
    computeRetryAfter,
    forget: (server) => void rests.delete(server),
  };
};
