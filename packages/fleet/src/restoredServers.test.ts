import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { advanceSettled, type Ms } from "@stairgauge/common";
import {
  isWriting,
  getExpectedState,
  runRestores,
  type StoreOutage,
  type SimulatedServer,
} from "./restoredServers.testkit.js";

/** Time within which new work must end after the store accepted that a server leaves. */
const BOUND_MS = 2_000;

/**
 * Longest pause before a store that has come back is asked again. Until then a box can't receive
 * the change.
 */
const MAX_PAUSE_MS = 750;

const LAST_EVENT_MS = 14_000;

/** Time after the last event in which entries lapse and withheld rows count again. */
const QUIET_MS = 12_000;

const STEP_MS = 50;

const TIME = fc.integer({ min: 500, max: LAST_EVENT_MS });
const SERVER: fc.Arbitrary<SimulatedServer> = fc.record({
  startsAt: fc.oneof(fc.constant(0), TIME),
  phase: fc.integer({ min: 0, max: 1_199 }),
  end: fc.option(
    fc.record({
      kind: fc.constantFrom(
        "says_leaving" as const,
        "drops_entry" as const,
        "crashes" as const,
      ),
      at: TIME,
    }),
    { nil: undefined },
  ),
});
const OUTAGES: fc.Arbitrary<readonly StoreOutage[]> = fc
  .array(
    fc.record({
      pause: fc.integer({ min: 1, max: 6_000 }),
      away: fc.integer({ min: 0, max: 2_600 }),
      copyAge: fc.integer({ min: 0, max: 6_000 }),
    }),
    { minLength: 1, maxLength: 2 },
  )
  .map((list) => {
    let end = 2_000;
    return list.map(({ pause, away, copyAge }) => {
      const from = end + pause;
      end = from + away;
      return { from, until: end, copyAge };
    });
  });

describe("createServerSink with a store that comes back from copies", () => {
  it("gives no work to servers that have left, and gives work again once a server has written its entry (property)", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.nat(),
        fc.array(SERVER, { minLength: 1, maxLength: 5 }),
        OUTAGES,
        async (seed, servers, outages) => {
          const simulation = runRestores(seed, servers, outages);
          simulation.start();
          const hasLeft = new Set<number>();
          const computeBound = (leftAt: number) => {
            const isJustBack = outages.some(
              ({ from, until }) => leftAt >= from && leftAt < until + MAX_PAUSE_MS,
            );
            return leftAt + BOUND_MS + (isJustBack ? MAX_PAUSE_MS : 0);
          };
          const end = LAST_EVENT_MS + QUIET_MS;
          for (let now = 0; now < end; now += STEP_MS) {
            await advanceSettled(simulation.clock, STEP_MS as Ms);
            const ready = simulation.listReady();
            servers.forEach((server, index) => {
              const leftAt = simulation.getLeftAt(index);
              if (leftAt !== undefined && simulation.clock.now() > computeBound(leftAt))
                expect(ready).not.toContain(index);
              // Once the box has received a server's own announcement of its end, this is not
              // undone.
              const isOver = server.end && simulation.clock.now() >= server.end.at;
              if (!isOver || server.end?.kind === "crashes") return;
              if (hasLeft.has(index)) expect(ready).not.toContain(index);
              if (!ready.includes(index)) hasLeft.add(index);
            });
          }
          simulation.stop();
          const running = servers
            .map((_, index) => index)
            .filter((index) => isWriting(servers[index]!, end))
            .filter((index) => getExpectedState(servers[index]!, end) === "ready");
          expect(simulation.listReady().toSorted()).toEqual(running);
        },
      ),
      { seed: 47, numRuns: 150 },
    );
  }, 120_000);
});
