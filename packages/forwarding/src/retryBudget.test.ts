import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { Ms, ServiceName } from "@stairgauge/common";
import { createRetryBudget } from "./retryBudget.js";

const service = "s" as ServiceName;
const WINDOW = 10_000;

describe("createRetryBudget", () => {
  it("keeps all boxes together within the limit, however requests are distributed (property)", () => {
    const boxes = 4;
    const slack = 8;
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            box: fc.nat(boxes - 1),
            gap: fc.nat(400),
            isRepeat: fc.boolean(),
          }),
          { maxLength: 400 },
        ),
        (steps) => {
          const limits = { ratio: 0.2, slack: slack / boxes, window: WINDOW as Ms };
          const budgets = Array.from({ length: boxes }, () =>
            createRetryBudget(() => limits),
          );
          const requests: number[] = [];
          const repeats: number[] = [];
          let now = 0;
          for (const { box, gap, isRepeat } of steps) {
            now += gap;
            if (!isRepeat) {
              budgets[box]!.recordRequest(service, now as Ms);
              requests.push(now);
            } else if (budgets[box]!.take(service, now as Ms)) repeats.push(now);
            const count = (times: number[]) =>
              times.filter((time) => time >= now - WINDOW).length;
            expect(count(repeats)).toBeLessThanOrEqual(0.2 * count(requests) + slack);
          }
        },
      ),
      { seed: 2, numRuns: 100 },
    );
  });

  it("allows another repeat once the window has passed", () => {
    const limits = { ratio: 0, slack: 1, window: WINDOW as Ms };
    const budget = createRetryBudget(() => limits);
    expect(budget.take(service, 0 as Ms)).toBe(true);
    expect(budget.take(service, WINDOW as Ms)).toBe(false);
    expect(budget.take(service, (WINDOW + 1) as Ms)).toBe(true);
  });
});
