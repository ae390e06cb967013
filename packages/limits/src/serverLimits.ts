/**
 * What one box may send to servers that have named limits: the limits on record, this box's part of
 * them, and which requests get it.
 */
import type { Clock, Ms, ServiceName } from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { FleetPlaces } from "@stairgauge/placement";
import {
  createLimitRegistry,
  type LimitRegistry,
  type LimitRegistryOptions,
} from "./limitRegistry.js";
import { computeQuota, createSendBudgets, type SendBudget } from "./sendBudgets.js";
import type { LimitEvent } from "./types.js";
import { createUrgentDemand } from "./urgentDemand.js";

/** Dependencies of the server limits. */
export type ServerLimitsOptions = Omit<LimitRegistryOptions, "clock"> &
  Readonly<{
    /**
     * Clock for the pacing of requests. It may stop while the machine is suspended: sent requests
     * then count for longer, so that too few are sent rather than too many.
     */
    clock: Pick<Clock, "monotonic">;
    /** Clock for ages. It must include the time in which the machine is suspended. */
    agingClock: Pick<Clock, "monotonic">;
    places: Pick<FleetPlaces, "computePart">;
    /** Whether hubs place the service's requests for the other boxes. */
    isPlacedByHubs: (service: ServiceName) => boolean;
  }>;

/** What a limited server accepts from all boxes, and this box's part of it. */
export type Allowance = SendBudget & Readonly<{ perSecond: number }>;

/** A request for capacity of limited servers. */
export type LimitedDemand = Readonly<{
  service: ServiceName;
  /** Priority rank; 0 is the most urgent. */
  tier: number;
}>;

/**
 * The servers out of a given list that accept one more request now. If there are none, `retryAfter`
 * is the time until a retry makes sense.
 */
export type FilteredServers = Readonly<{
  open: readonly BackendServer[];
  retryAfter: Ms | undefined;
}>;

/** Limits on record at one box, and the requests it has sent under them. */
export type ServerLimits = LimitRegistry &
  Readonly<{
    isLimited: (server: ServerId) => boolean;
    /** Returns undefined if the server has named no limit. */
    findAllowance: (entry: BackendServer["entry"]) => Allowance | undefined;
    filter: (demand: LimitedDemand, servers: readonly BackendServer[]) => FilteredServers;
    recordArrival: (demand: LimitedDemand) => void;
    /**
     * Records a request sent to the server. `tier` is undefined for calls that are not client
     * requests.
     */
    recordSent: (entry: BackendServer["entry"], tier: number | undefined) => void;
  }>;

const MS_PER_S = 1_000;

/** Events after which a server has no limit on record. */
const ENDINGS: ReadonlySet<LimitEvent["kind"]> = new Set([
  "lifted",
  "run_out",
  "dropped",
]);

/** Creates the server limits, with none on record. */
export const createServerLimits = (options: ServerLimitsOptions): ServerLimits => {
  const { clock, agingClock, places, isPlacedByHubs, onEvent } = options;
  const budgets = createSendBudgets(clock);
  const urgentDemand = createUrgentDemand(clock);
  const registry = createLimitRegistry({
    ...options,
    clock: agingClock,
    onEvent: (event) => {
      if (ENDINGS.has(event.kind)) budgets.forget(event.server);
      onEvent(event);
    },
  });

  const findAllowance: ServerLimits["findAllowance"] = ({ id, service }) => {
    const limit = registry.find(id);
    if (!limit) return undefined;
    const quota = computeQuota(limit);
    const isPlacedByFirst = isPlacedByHubs(service);
    const bound = { whole: quota.whole, server: id, isPlacedByFirst };
    const budget = budgets.compute(id, quota, places.computePart(bound));
    return { ...budget, perSecond: limit.perSecond };
  };

  /**
   * Time until a retry makes sense: when the servers together accept one more request, and not
   * before this box may send one.
   */
  const computeRetryAfter = (allowances: readonly Allowance[]): Ms => {
    const perSecond = allowances.reduce((sum, one) => sum + one.perSecond, 0);
    const waits = allowances.flatMap(({ freeIn }) => freeIn ?? []);
    const next = waits.length > 0 ? Math.min(...waits) : 0;
    return Math.ceil(Math.max(next, MS_PER_S / perSecond)) as Ms;
  };

  const filterLimited: ServerLimits["filter"] = ({ service, tier }, servers) => {
    const candidates = servers.map((server) => ({
      server,
      allowance: findAllowance(server.entry),
    }));
    const allowances = candidates.flatMap(({ allowance }) => allowance ?? []);
    const isScarce = allowances.length === servers.length;
    const placeCount = allowances.reduce((sum, { part }) => sum + part, 0);
    const isOutranked = isScarce && !urgentDemand.maySend(service, tier, placeCount);
    const open = isOutranked
      ? []
      : candidates.filter(({ allowance }) => !allowance || allowance.freeIn === 0);
    if (open.length > 0 || servers.length === 0)
      return { open: open.map(({ server }) => server), retryAfter: undefined };
    return { open: [], retryAfter: computeRetryAfter(allowances) };
  };

  return {
    ...registry,
    isLimited: (server) => registry.find(server) !== undefined,
    findAllowance,
    filter: (demand, servers) =>
      registry.isEmpty()
        ? { open: servers, retryAfter: undefined }
        : filterLimited(demand, servers),
    recordArrival: ({ service, tier }) => {
      if (!registry.isEmpty()) urgentDemand.recordArrival(service, tier);
    },
    recordSent: ({ id, service }, tier) => {
      const limit = registry.find(id);
      if (!limit) return;
      budgets.record(id, computeQuota(limit));
      if (tier !== undefined) urgentDemand.recordSent(service, tier);
    },
  };
};
