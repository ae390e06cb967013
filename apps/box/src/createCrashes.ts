/**
 * Creates the guard against requests that crash servers, from this box's own evidence and that
 * of other boxes, and its list in the store.
 */
import type { Clock, Ms } from "@stairgauge/common";
import {
  createBlockedList,
  createRequestGuard,
  type BlockedList,
  type BlockedRequest,
  type RequestGuard,
} from "@stairgauge/crashes";
import { BLOCKED_TABLE, createStoreWriter, type CallBounds } from "@stairgauge/platform";
import type { BoxSettings } from "@stairgauge/settings";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import type { Peers } from "./createPeers.js";

export type CrashesOptions = Readonly<{
  settings: BoxSettings;
  clock: Clock;
  log: DecisionLog;
  metrics: BoxMetrics;
  peers: Pick<Peers, "links" | "reporter" | "forward">;
  callBounds: CallBounds;
  /** Called when a request is blocked: its waiting attempts must end. */
  onBlocked: () => void;
}>;

/** The guard, and the list of blocked requests in the store, which outlives the box. */
export type Crashes = Readonly<{ guard: RequestGuard; list: BlockedList }>;

const MS_PER_S = 1_000;

/** Creates both; no request is suspected. */
export const createCrashes = (options: CrashesOptions): Crashes => {
  const { settings, clock, log, metrics, peers } = options;
  const { blockingEnds, memorySeconds } = settings.crashes;

  const countBlocked = () => metrics.blockedRequests.set(guard.countBlocked());
  const handleBlocked = (blocked: BlockedRequest) => {
    const { digest, part, ends, left, isOwn } = blocked;
    log.writeWarning("request_blocked", {
      digest,
      part,
      seenHere: isOwn,
      leftMs: Math.round(left),
      ends: ends.map(({ server, age }) => ({ server, ageMs: Math.round(age) })),
    });
    countBlocked();
    if (isOwn) list.put(blocked);
    options.onBlocked();
  };

  const guard: RequestGuard = createRequestGuard({
    clock,
    limits: { blockingEnds, memory: (memorySeconds * MS_PER_S) as Ms },
    onOwnUpdate: peers.reporter.recordCrashes,
    onSharedUpdate: (crashes) => peers.forward({ crashes }),
    onBlocked: handleBlocked,
    onReleased: (digest, isOwn) => {
      log.writeNotice("request_released", { digest, servedHere: isOwn });
      countBlocked();
      list.drop(digest);
    },
  });
  const list = createBlockedList({
    clock,
    writer: createStoreWriter(settings.store.address, options.callBounds),
    table: BLOCKED_TABLE,
    limit: settings.store.patienceMs as Ms,
    getGuard: () => guard,
    getRank: () => peers.links.findPlace()?.rank,
    onFailure: (failure) => log.writeWarning("blocked_list", { failure }),
    onReview: countBlocked,
  });
  return { guard, list };
};
