/**
 * Scenario: all servers of a service have named limits, this box may send five requests in five
 * seconds, and twelve arrive per second, of which few are urgent. First come, first served would
 * give urgent requests only their share of all requests.
 */
import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms, type ServiceName } from "@stairgauge/common";
import { createUrgentDemand } from "./urgentDemand.js";

const SERVICE = "pages" as ServiceName;
const OTHER = "agenda" as ServiceName;
const PLACES = 5;
const URGENT = 0;
const COMMON = 2;

const SPAN_MS = 5_000;

/**
 * Simulates 30 s with PLACES requests allowed in any span. Returns how many of each rank were sent
 * after the first span.
 */
const runLoad = (urgentIntervalMs: number) => {
  const clock = createVirtualClock();
  const demand = createUrgentDemand(clock);
  const sent = { urgent: 0, common: 0 };
  let sentAt: number[] = [];
  const submitRequest = (tier: number) => {
    const now = clock.monotonic();
    sentAt = sentAt.filter((at) => at > now - SPAN_MS);
    demand.recordArrival(SERVICE, tier);
    if (sentAt.length >= PLACES || !demand.maySend(SERVICE, tier, PLACES)) return;
    sentAt.push(now);
    demand.recordSent(SERVICE, tier);
    if (now >= SPAN_MS) sent[tier === URGENT ? "urgent" : "common"] += 1;
  };
  for (let now = 0; now < 30_000; now += 10) {
    if (now % 80 === 0) submitRequest(COMMON);
    if (now % urgentIntervalMs === 0) submitRequest(URGENT);
    clock.advance(10 as Ms);
  }
  return sent;
};

describe("createUrgentDemand", () => {
  it("gives the places to urgent requests when they ask for all of them", () => {
    const { urgent, common } = runLoad(900);
    expect(urgent).toBeGreaterThanOrEqual(22);
    expect(common).toBeLessThanOrEqual(2);
  });

  it("gives the places that urgent requests don't ask for to others", () => {
    const { urgent, common } = runLoad(2_500);
    expect(urgent).toBeGreaterThanOrEqual(8);
    expect(common).toBeGreaterThanOrEqual(12);
  });

  it("gives the places to any request if none is more urgent, and counts by service", () => {
    const clock = createVirtualClock();
    const demand = createUrgentDemand(clock);
    for (let i = 0; i < 50; i += 1) demand.recordArrival(OTHER, URGENT);
    for (let i = 0; i < PLACES; i += 1) {
      demand.recordArrival(SERVICE, COMMON);
      expect(demand.maySend(SERVICE, COMMON, PLACES)).toBe(true);
      demand.recordSent(SERVICE, COMMON);
    }
    expect(demand.maySend(SERVICE, COMMON, PLACES)).toBe(false);
    expect(demand.maySend(OTHER, COMMON, PLACES)).toBe(false);
    clock.advance(6_000 as Ms);
    expect(demand.maySend(SERVICE, COMMON, PLACES)).toBe(true);
    expect(demand.maySend(OTHER, COMMON, PLACES)).toBe(true);
  });
});
