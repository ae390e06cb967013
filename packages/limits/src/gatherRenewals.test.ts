/**
 * Scenario: a hundred servers name limits, and a hub receives a renewal from each of them every
 * second, at different moments.
 */
import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { createRenewalGatherer } from "./gatherRenewals.js";
import type { KnownLimit, LimitUpdate } from "./types.js";

const SERVERS = Array.from({ length: 100 }, (_, i) => `page-${i}` as ServerId);
const KNOWN: KnownLimit = { perSecond: 2, knownFor: 5_000 as Ms, age: 10 as Ms };

const setUp = (known: ReadonlySet<ServerId>) => {
  const clock = createVirtualClock();
  const sent: LimitUpdate[] = [];
  const collectRenewal = createRenewalGatherer({
    clock,
    getRegistry: () => ({
      makeUpdate: (servers = known) => ({
        named: [...servers]
          .filter((server) => known.has(server))
          .map((server) => ({ server, ...KNOWN })),
        lifted: [],
      }),
    }),
    send: (update) => sent.push(update),
  });
  const recordRenewal = (server: ServerId) =>
    collectRenewal({ named: [{ server, ...KNOWN, age: 0 as Ms }], lifted: [] });
  return { clock, sent, recordRenewal };
};

describe("createRenewalGatherer", () => {
  it("sends at most two updates per second for any number of limited servers, with the values on record at that time", () => {
    const { clock, sent, recordRenewal } = setUp(new Set(SERVERS));
    for (let second = 0; second < 5; second += 1)
      for (const server of SERVERS) {
        recordRenewal(server);
        clock.advance(10 as Ms);
      }
    clock.advance(1_000 as Ms);
    expect(sent.length).toBeLessThanOrEqual(11);
    const named = sent.flatMap((update) => update.named);
    expect(new Set(named.map(({ server }) => server))).toEqual(new Set(SERVERS));
    expect(named.every(({ age }) => age === KNOWN.age)).toBe(true);
  });

  it("sends nothing for a limit that has ended before the batch is sent", () => {
    const { clock, sent, recordRenewal } = setUp(new Set());
    recordRenewal(SERVERS[0]!);
    clock.advance(1_000 as Ms);
    expect(sent).toEqual([]);
  });
});
