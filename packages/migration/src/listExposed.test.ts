import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  FAR_COPY_FACTOR,
  LEAVING_NOTICE_MS,
  computeCopyTime,
  type CopyLink,
} from "./copyTime.js";
import { listExposed } from "./index.js";

/** The users' engines: 128 KiB per token over 19 Gbit/s. A copy of 3,500 tokens to another data hall takes 0.39 s. */
const LINK: CopyLink = { bytesPerToken: 131_072, linkMbps: 19_000 };

const makeRun = (id: string, tokensInMemory: number) => ({
  id,
  tokensInMemory,
  tokensLeft: 500,
});

describe("listExposed", () => {
  it("lists the runs after those that can be copied in the notice time", () => {
    const runs = ["a", "b", "c", "d", "e"].map((id) => makeRun(id, 3_500));
    expect(listExposed({ runs, link: LINK })).toEqual(["d", "e"]);
  });

  it("lists no run of an engine with few runs", () => {
    expect(listExposed({ runs: [makeRun("a", 6_000)], link: LINK })).toEqual([]);
  });

  it("leaves out only runs that the link can copy in time (property)", () => {
    const sizes = fc.array(fc.integer({ min: 1, max: 20_000 }), { maxLength: 30 });
    fc.assert(
      fc.property(sizes, (tokens) => {
        const runs = tokens.map((size, index) => makeRun(`r${index}`, size));
        const exposed = new Set(listExposed({ runs, link: LINK }));
        const unlisted = runs.filter(({ id }) => !exposed.has(id));
        const time = unlisted.reduce(
          (sum, run) => sum + FAR_COPY_FACTOR * computeCopyTime(run.tokensInMemory, LINK),
          0,
        );
        expect(time).toBeLessThanOrEqual(LEAVING_NOTICE_MS);
      }),
    );
  });
});
