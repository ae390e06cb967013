import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { advanceSettled, type Ms } from "@stairgauge/common";
import {
  isWriting,
  judgeTrueState,
  runRestores,
  type PlayedDrill,
  type PlayedServer,
} from "./restoredServers.testkit.js";

/** New work ends so long after the store has taken that a server leaves. */
const BOUND_MS = 2_000;

/** A store that has just come back is asked again after this pause at most; until then a box can't hear of it. */
const MAX_PAUSE_MS = 750;

const LAST_EVENT_MS = 14_000;

/** After the last event entries lapse, and what was withheld counts again. */
const QUIET_MS = 12_000;

const STEP_MS = 50;

const TIME = fc.integer({ min: 500, max: LAST_EVENT_MS });
const SERVER: fc.Arbitrary<PlayedServer> = fc.record({
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
const DRILLS: fc.Arbitrary<readonly PlayedDrill[]> = fc
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

describe("servers before a box whose store comes back from copies", () => {
  it("get nothing once they have left, and work again once they have written (property)", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.nat(),
        fc.array(SERVER, { minLength: 1, maxLength: 5 }),
        DRILLS,
        async (seed, servers, drills) => {
          const world = runRestores(seed, servers, drills);
          world.start();
          const hasLeft = new Set<number>();
          const computeBound = (leftAt: number) => {
            const isJustBack = drills.some(
              ({ from, until }) => leftAt >= from && leftAt < until + MAX_PAUSE_MS,
            );
            return leftAt + BOUND_MS + (isJustBack ? MAX_PAUSE_MS : 0);
          };
          const end = LAST_EVENT_MS + QUIET_MS;
          for (let now = 0; now < end; now += STEP_MS) {
            await advanceSettled(world.clock, STEP_MS as Ms);
            const ready = world.listReady();
            servers.forEach((server, index) => {
              const leftAt = world.getLeftAt(index);
              if (leftAt !== undefined && world.clock.now() > computeBound(leftAt))
                expect(ready).not.toContain(index);
              // What the box has once heard of a server's own end is not taken back.
              const isOver = server.end && world.clock.now() >= server.end.at;
              if (!isOver || server.end?.kind === "crashes") return;
              if (hasLeft.has(index)) expect(ready).not.toContain(index);
              if (!ready.includes(index)) hasLeft.add(index);
            });
          }
          world.stop();
          const living = servers
            .map((_, index) => index)
            .filter((index) => isWriting(servers[index]!, end))
            .filter((index) => judgeTrueState(servers[index]!, end) === "ready");
          expect(world.listReady().toSorted()).toEqual(living);
        },
      ),
      { seed: 47, numRuns: 150 },
    );
  }, 120_000);
});
