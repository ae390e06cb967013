/**
 * The load: all servers of a service are in need, this box has five places in five seconds, and twelve requests come a second, of which
 * few are urgent. First come first served gave the urgent ones as many of the places as they are of the requests.
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

/** Plays half a minute, with so many places in any span. Gives how many of each rank were sent once a span was known. */
const runLoad = (urgentEachMs: number) => {
  const clock = createVirtualClock();
  const demand = createUrgentDemand(clock);
  const sent = { urgent: 0, common: 0 };
  let sentAt: number[] = [];
  const take = (tier: number) => {
    const now = clock.monotonic();
    sentAt = sentAt.filter((at) => at > now - SPAN_MS);
    demand.recordArrival(SERVICE, tier);
    if (sentAt.length >= PLACES || !demand.mayTake(SERVICE, tier, PLACES)) return;
    sentAt.push(now);
    demand.recordSent(SERVICE, tier);
    if (now >= SPAN_MS) sent[tier === URGENT ? "urgent" : "common"] += 1;
  };
  for (let now = 0; now < 30_000; now += 10) {
    if (now % 80 === 0) take(COMMON);
    if (now % urgentEachMs === 0) take(URGENT);
    clock.advance(10 as Ms);
  }
  return sent;
};

describe("what servers in need leave", () => {
  it("goes to urgent requests as soon as they ask for all of it", () => {
    const { urgent, common } = runLoad(900);
    expect(urgent).toBeGreaterThanOrEqual(22);
    expect(common).toBeLessThanOrEqual(2);
  });

  it("goes to others as far as urgent ones ask for less", () => {
    const { urgent, common } = runLoad(2_500);
    expect(urgent).toBeGreaterThanOrEqual(8);
    expect(common).toBeGreaterThanOrEqual(12);
  });

  it("goes to whoever asks where all are alike, and is counted by service", () => {
    const clock = createVirtualClock();
    const demand = createUrgentDemand(clock);
    for (let i = 0; i < 50; i += 1) demand.recordArrival(OTHER, URGENT);
    for (let i = 0; i < PLACES; i += 1) {
      demand.recordArrival(SERVICE, COMMON);
      expect(demand.mayTake(SERVICE, COMMON, PLACES)).toBe(true);
      demand.recordSent(SERVICE, COMMON);
    }
    expect(demand.mayTake(SERVICE, COMMON, PLACES)).toBe(false);
    expect(demand.mayTake(OTHER, COMMON, PLACES)).toBe(false);
    clock.advance(6_000 as Ms);
    expect(demand.mayTake(SERVICE, COMMON, PLACES)).toBe(true);
    expect(demand.mayTake(OTHER, COMMON, PLACES)).toBe(true);
  });
});
