/** What one box may send to servers that have named limits: who knows of a limit, how much of it is this box's, and whom it goes to. */
import type { Clock, Ms, ServiceName } from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { FleetPlaces } from "@stairgauge/placement";
import {
  createLimitRegistry,
  type LimitRegistry,
  type LimitRegistryOptions,
} from "./limitRegistry.js";
import { computeQuota, createLimitRooms, type LimitRoom } from "./limitRoom.js";
import type { LimitEvent } from "./types.js";
import { createUrgentDemand } from "./urgentDemand.js";

/** What the limits need. */
export type ServerLimitsOptions = Omit<LimitRegistryOptions, "clock"> &
  Readonly<{
    /** The steady clock, by which requests are paced: it remembers longer than it should, and so errs to the safe side. */
    clock: Pick<Clock, "monotonic">;
    /** A clock by which ages are proved. */
    agingClock: Pick<Clock, "monotonic">;
    places: Pick<FleetPlaces, "computePart">;
    /** Whether boxes that place for others place the service's requests. */
    isPlacedByHubs: (service: ServiceName) => boolean;
  }>;

/** What a server in need takes, and this box's part of it. */
export type Allowance = LimitRoom & Readonly<{ perSecond: number }>;

/** What is asked for. */
export type LimitedDemand = Readonly<{
  service: ServiceName;
  /** Rank, 0 first. */
  tier: number;
}>;

/** Servers of those asked about that take one more request now; where none does, when to come back. */
export type FilteredServers = Readonly<{
  open: readonly BackendServer[];
  retryAfter: Ms | undefined;
}>;

/** The limits of one box. */
export type ServerLimits = LimitRegistry &
  Readonly<{
    isLimited: (server: ServerId) => boolean;
    /** Undefined where the server takes what comes. */
    findAllowance: (entry: BackendServer["entry"]) => Allowance | undefined;
    filter: (demand: LimitedDemand, servers: readonly BackendServer[]) => FilteredServers;
    recordArrival: (demand: LimitedDemand) => void;
    /** A request goes to the server; one without a rank is a call that is no request of a client's. */
    recordSent: (entry: BackendServer["entry"], tier: number | undefined) => void;
  }>;

const MS_PER_S = 1_000;

/** Events after which a server has no limit any more. */
const ENDINGS: ReadonlySet<LimitEvent["kind"]> = new Set([
  "lifted",
  "run_out",
  "dropped",
]);

/** Creates the limits; none is known. */
export const createServerLimits = (options: ServerLimitsOptions): ServerLimits => {
  const { clock, agingClock, places, isPlacedByHubs, onEvent } = options;
  const rooms = createLimitRooms(clock);
  const urgent = createUrgentDemand(clock);
  const book = createLimitRegistry({
    ...options,
    clock: agingClock,
    onEvent: (event) => {
      if (ENDINGS.has(event.kind)) rooms.forget(event.server);
      onEvent(event);
    },
  });

  const findAllowance: ServerLimits["findAllowance"] = ({ id, service }) => {
    const limit = book.find(id);
    if (!limit) return undefined;
    const quota = computeQuota(limit);
    const isPlacedByFirst = isPlacedByHubs(service);
    const bound = { whole: quota.whole, server: id, isPlacedByFirst };
    const room = rooms.judge(id, quota, places.computePart(bound));
    return { ...room, perSecond: limit.perSecond };
  };

  /** No sooner than the servers together take one more, nor than this box has a place. */
  const computeRetryAfter = (allowances: readonly Allowance[]): Ms => {
    const perSecond = allowances.reduce((sum, one) => sum + one.perSecond, 0);
    const waits = allowances.flatMap(({ freeIn }) => freeIn ?? []);
    const next = waits.length > 0 ? Math.min(...waits) : 0;
    return Math.ceil(Math.max(next, MS_PER_S / perSecond)) as Ms;
  };

  const sift: ServerLimits["filter"] = ({ service, tier }, servers) => {
    const judged = servers.map((server) => ({
      server,
      allowance: findAllowance(server.entry),
    }));
    const allowances = judged.flatMap(({ allowance }) => allowance ?? []);
    const isScarce = allowances.length === servers.length;
    const sumPlaces = allowances.reduce((sum, { part }) => sum + part, 0);
    const isOutranked = isScarce && !urgent.mayTake(service, tier, sumPlaces);
    const open = isOutranked
      ? []
      : judged.filter(({ allowance }) => !allowance || allowance.freeIn === 0);
    if (open.length > 0 || servers.length === 0)
      return { open: open.map(({ server }) => server), retryAfter: undefined };
    return { open: [], retryAfter: computeRetryAfter(allowances) };
  };

  return {
    ...book,
    isLimited: (server) => book.find(server) !== undefined,
    findAllowance,
    filter: (demand, servers) =>
      book.isEmpty() ? { open: servers, retryAfter: undefined } : sift(demand, servers),
    recordArrival: ({ service, tier }) => {
      if (!book.isEmpty()) urgent.recordArrival(service, tier);
    },
    recordSent: ({ id, service }, tier) => {
      const limit = book.find(id);
      if (!limit) return;
      rooms.record(id, computeQuota(limit));
      if (tier !== undefined) urgent.recordSent(service, tier);
    },
  };
};
