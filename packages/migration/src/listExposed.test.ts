import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { FAR_FACTOR, NOTICE_MS, computeCopyTime, type CopyLink } from "./copyTime.js";
import { listExposed } from "./index.js";

/** The users' engines: 128 KiB a token over 19 Gbit/s, 0.39 s for 3,500 tokens to another data hall. */
const LINK: CopyLink = { bytesPerToken: 131_072, linkMbps: 19_000 };

const makeRun = (id: string, tokensInMemory: number) => ({
  id,
  tokensInMemory,
  tokensLeft: 500,
});

describe("listExposed", () => {
  it("names the runs behind those that a notice has time for", () => {
    const runs = ["a", "b", "c", "d", "e"].map((id) => makeRun(id, 3_500));
    expect(listExposed({ runs, link: LINK })).toEqual(["d", "e"]);
  });

  it("names nobody at an engine with few runs", () => {
    expect(listExposed({ runs: [makeRun("a", 6_000)], link: LINK })).toEqual([]);
  });

  it("leaves to the link only what it can copy in time, whatever the runs", () => {
    const sizes = fc.array(fc.integer({ min: 1, max: 20_000 }), { maxLength: 30 });
    fc.assert(
      fc.property(sizes, (tokens) => {
        const runs = tokens.map((size, index) => makeRun(`r${index}`, size));
        const exposed = new Set(listExposed({ runs, link: LINK }));
        const left = runs.filter(({ id }) => !exposed.has(id));
        const time = left.reduce(
          (sum, run) => sum + FAR_FACTOR * computeCopyTime(run.tokensInMemory, LINK),
          0,
        );
        expect(time).toBeLessThanOrEqual(NOTICE_MS);
      }),
    );
  });
});
