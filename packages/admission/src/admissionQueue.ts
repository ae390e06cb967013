/**
 * Queue of requests that wait for capacity: one for each service, for generations and plain requests.
 *
 * Generations wait at the box while every engine is full. In an engine's own queue they would take
 * slots needed by runs that have to move, preempt runs, and miss engines that start meanwhile.
 * Plain requests wait while every slot of their service is taken, and only as long as that is useful.
 * Pure apart from the given clock.
 */
import {
  runEach,
  type Clock,
  type Ms,
  type ServiceName,
  type Timer,
} from "@stairgauge/common";
import { EXPIRY_DELAY_MS, POLL_INTERVAL_MS } from "./constants.js";
import type { FairShares } from "./fairShares.js";
import { createForecaster } from "./forecaster.js";
import { findFirst, getLatestStart, type Waiting } from "./orderEntries.js";
import type {
  AdmissionEntry,
  AdmissionEvent,
  AdmissionRefusal,
  Charge,
  PlainEntry,
  WaitForecast,
} from "./types.js";

/** Options of the queue. */
export type AdmissionQueueOptions = Readonly<{
  clock: Clock;
  shares: FairShares;
  /** Retry delay of refused clients without load, and the shortest one. */
  retryAfter: Ms;
  /**
   * Number of usable slots of a plain service; undefined if not known. With the work of a request it
   * gives the rate to expect before completions were counted.
   */
  countSlots?: (service: ServiceName) => number | undefined;
  onEvent?: (event: AdmissionEvent) => void;
}>;

/** The queue of one box. */
export type AdmissionQueue = Readonly<{
  /**
   * Adds a request; the returned function removes it. A generation is queued. A plain request is
   * placed, queued or refused before this returns.
   */
  add: (entry: AdmissionEntry) => () => void;
  /** Handles that slots of the service became free, or with `freed` 0 that they may be. */
  onRoom: (service: ServiceName, freed?: number) => void;
  /** Whether a waiting request of the service goes before a new one of the tier. */
  hasAhead: (service: ServiceName, tier: number) => boolean;
  /** Number of waiting requests of the service, or of all. */
  count: (service?: ServiceName) => number;
  /** Charges a request that was placed without being added. */
  recordPlaced: (charge: Charge) => void;
}>;

/** Creates an empty queue. */
export const createAdmissionQueue = (options: AdmissionQueueOptions): AdmissionQueue => {
  const { clock, shares, onEvent = () => undefined } = options;
  const queues = new Map<ServiceName, Set<Waiting>>();
  const draining = new Set<ServiceName>();
  const forecaster = createForecaster(options);
  let sequence = 0;
  let timer: (Timer & Readonly<{ at: number }>) | undefined;

  const listQueue = (service: ServiceName): ReadonlySet<Waiting> =>
    queues.get(service) ?? new Set();
  const remove = (waiting: Waiting): boolean => {
    const { service } = waiting.entry;
    const wasWaiting = queues.get(service)?.delete(waiting) ?? false;
    if (queues.get(service)?.size === 0) queues.delete(service);
    return wasWaiting;
  };
  const push = (waiting: Waiting) => {
    const { service } = waiting.entry;
    const queue = queues.get(service) ?? new Set();
    queues.set(service, queue.add(waiting));
  };
  const getWaited = ({ addedAt }: Waiting) => (clock.monotonic() - addedAt) as Ms;
  const describe = ({ entry }: Waiting) => ({
    sharer: entry,
    request: entry.id,
    waiting: listQueue(entry.service).size,
  });

  const onPlaced = (waiting: Waiting, isForced: boolean) => {
    shares.charge(waiting.entry, clock.monotonic());
    onEvent({
      kind: "placed",
      ...describe(waiting),
      waited: getWaited(waiting),
      isForced,
    });
  };
  const refuse = (
    waiting: Waiting & Readonly<{ entry: PlainEntry }>,
    reason: AdmissionRefusal,
    forecast: WaitForecast,
  ) => {
    const { entry } = waiting;
    shares.chargeRefused(entry, clock.monotonic());
    const retryAfter = forecaster.planRetry(entry, listQueue(entry.service).size);
    const waited = getWaited(waiting);
    const event = { kind: "refused", ...describe(waiting), ...forecast } as const;
    onEvent({ ...event, reason, retryAfter, waited });
    entry.refuse(retryAfter, reason);
  };

  const isPlain = (
    waiting: Waiting,
  ): waiting is Waiting & Readonly<{ entry: PlainEntry }> =>
    waiting.entry.kind === "plain";
  /** Refuses requests that can no longer be answered in time: waiting on is of no use to them. */
  const refuseExpired = (service: ServiceName) => {
    const now = clock.monotonic();
    for (const waiting of listQueue(service)) {
      if (!isPlain(waiting) || now <= getLatestStart(waiting.entry)) continue;
      if (!remove(waiting)) continue;
      const position = forecaster.estimatePosition(waiting, listQueue(service));
      refuse(waiting, "too_late", forecaster.forecast(waiting, position));
    }
  };

  /**
   * Places requests in order while there is capacity. A request without capacity blocks all later
   * ones of its service, so that none is overtaken forever.
   */
  const placeFitting = (service: ServiceName) => {
    for (;;) {
      const first = findFirst(listQueue(service), shares, clock.monotonic());
      if (!first) return forecaster.setBusy(service, false);
      if (!first.entry.attempt()) return forecaster.setBusy(service, true);
      if (remove(first)) onPlaced(first, false);
    }
  };
  const placeDue = (service: ServiceName) => {
    const now = clock.monotonic();
    const byTier = [...listQueue(service)].sort((a, b) => a.entry.tier - b.entry.tier);
    for (const waiting of byTier) {
      const { entry } = waiting;
      if (entry.kind !== "generation" || now < entry.until || !remove(waiting)) continue;
      onPlaced(waiting, true);
      entry.placeAnyway();
    }
  };
  /** Callbacks may report free slots themselves; the loop that is running finds these. */
  const drain = (service: ServiceName) => {
    if (draining.has(service)) return;
    draining.add(service);
    try {
      refuseExpired(service);
      placeFitting(service);
      placeDue(service);
    } finally {
      draining.delete(service);
    }
  };
  const poll = () => {
    timer = undefined;
    try {
      runEach([...queues.keys()], drain);
    } catch (error) {
      // An error that comes again and again isn't polled without a pause.
      if (queues.size > 0) scheduleAt(clock.monotonic() + POLL_INTERVAL_MS);
      throw error;
    }
    schedule();
  };
  /** Time at which the request is refused if it still waits. */
  const getExpiry = (entry: AdmissionEntry): number =>
    entry.kind === "plain" ? getLatestStart(entry) + EXPIRY_DELAY_MS : Infinity;
  const findNextCheck = () => {
    let next = clock.monotonic() + POLL_INTERVAL_MS;
    for (const queue of queues.values())
      for (const { entry } of queue) next = Math.min(next, getExpiry(entry));
    return next;
  };
  const scheduleAt = (at: number) => {
    if (timer && timer.at <= at) return;
    timer?.cancel();
    const delay = Math.max(0, at - clock.monotonic()) as Ms;
    timer = { ...clock.setTimer(delay, poll), at };
  };
  const schedule = () => {
    if (queues.size > 0) scheduleAt(findNextCheck());
  };

  const enqueue = (waiting: Waiting, forecast: WaitForecast) => {
    push(waiting);
    onEvent({ kind: "waits", ...describe(waiting), ...forecast });
    const poll = clock.monotonic() + POLL_INTERVAL_MS;
    scheduleAt(Math.min(poll, getExpiry(waiting.entry)));
    return () => {
      if (remove(waiting))
        onEvent({ kind: "left", ...describe(waiting), waited: getWaited(waiting) });
    };
  };
  /** Whether nothing that waits goes before the request, and it was placed. */
  const attemptFirst = ({ entry }: Waiting, position: number): boolean => {
    if (position > 0 || draining.has(entry.service)) return false;
    const isPlaced = entry.attempt();
    if (isPlaced) shares.charge(entry, clock.monotonic());
    forecaster.setBusy(entry.service, !isPlaced || listQueue(entry.service).size > 0);
    return isPlaced;
  };
  const addPlain = (waiting: Waiting & Readonly<{ entry: PlainEntry }>) => {
    const { entry } = waiting;
    forecaster.recordArrival(entry);
    const position = forecaster.estimatePosition(waiting, listQueue(entry.service));
    if (attemptFirst(waiting, position)) return () => undefined;
    const { refusal, ...forecast } = forecaster.decide(waiting, position);
    if (refusal === undefined) return enqueue(waiting, forecast);
    refuse(waiting, refusal, forecast);
    return () => undefined;
  };

  return {
    add: (entry) => {
      const waiting: Waiting = {
        entry,
        sequence: sequence++,
        addedAt: clock.monotonic(),
      };
      if (isPlain(waiting)) return addPlain(waiting);
      const position = forecaster.estimatePosition(waiting, listQueue(entry.service));
      return enqueue(waiting, forecaster.forecast(waiting, position));
    },
    onRoom: (service, freed = 1) => {
      forecaster.recordFree(service, freed);
      drain(service);
    },
    hasAhead: (service, tier) =>
      [...listQueue(service)].some(({ entry }) => entry.tier <= tier),
    count: (service) =>
      service === undefined
        ? [...queues.values()].reduce((sum, queue) => sum + queue.size, 0)
        : listQueue(service).size,
    recordPlaced: (charge) => shares.charge(charge, clock.monotonic()),
  };
};
