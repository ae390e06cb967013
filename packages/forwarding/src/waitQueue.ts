/**
 * Queue of generations that wait at the box while every engine is full. In an engine's own queue they
 * would take slots needed by runs that have to move, preempt runs, and miss engines that start
 * meanwhile.
 */
import type { Clock, Ms, ServiceName, Timer } from "@stairgauge/common";

/** A waiting request. */
export type Waiting = Readonly<{
  service: ServiceName;
  /** Priority, 0 is the highest. */
  tier: number;
  /** Time at which the request is placed even if every engine is full. */
  until: Ms;
  /** Places the request if there is capacity; false if it has to keep waiting. */
  attempt: () => boolean;
  /** Places the request although every engine is full. */
  placeAnyway: () => void;
}>;

/** The queue of one box. */
export type WaitQueue = Readonly<{
  /** Adds a request; the returned function removes it. */
  add: (waiting: Waiting) => () => void;
  /** Whether a waiting request of the service goes before a new one of the tier. */
  hasAhead: (service: ServiceName, tier: number) => boolean;
  count: () => number;
}>;

/** How often the queue is checked. Capacity changes all the time, and a check costs only a few placement decisions. */
const POLL_INTERVAL_MS = 30 as Ms;

/** Creates an empty queue. */
export const createWaitQueue = (clock: Clock): WaitQueue => {
  /** Waiting requests in order of arrival. */
  const waiting = new Set<Waiting>();
  let timer: Timer | undefined;

  const listInOrder = () => [...waiting].sort((a, b) => a.tier - b.tier);

  /** A request without capacity blocks all later ones of its service, so that none is overtaken forever. */
  const placeFitting = () => {
    const full = new Set<ServiceName>();
    for (const request of listInOrder()) {
      if (full.has(request.service)) continue;
      if (request.attempt()) waiting.delete(request);
      else full.add(request.service);
    }
  };
  const placeDue = () => {
    const now = clock.monotonic();
    for (const request of listInOrder()) {
      if (now < request.until) continue;
      waiting.delete(request);
      request.placeAnyway();
    }
  };
  const poll = () => {
    timer = undefined;
    placeFitting();
    placeDue();
    schedule();
  };
  const schedule = () => {
    if (waiting.size > 0) timer ??= clock.setTimer(POLL_INTERVAL_MS, poll);
  };

  return {
    add: (request) => {
      waiting.add(request);
      schedule();
      return () => void waiting.delete(request);
    },
    hasAhead: (service, tier) =>
      [...waiting].some((request) => request.service === service && request.tier <= tier),
    count: () => waiting.size,
  };
};
