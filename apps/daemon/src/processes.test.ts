/** The whole path over separate processes and real sockets. */
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { EXAMPLE_KEY } from "@stairgauge/standins";
import { createProcessSite, readStream, type ProcessSite } from "@stairgauge/testkit";

describe("a site of separate processes", () => {
  let site: ProcessSite;
  beforeAll(async () => {
    site = await createProcessSite({ engines: 1, services: 1, boxes: 1 });
  });
  afterAll(() => site.destroy());

  it("streams an answer from caller to engine and back, and logs the placement", async () => {
    const box = site.boxes[0]!;
    const view = await readStream({
      url: box.url,
      key: EXAMPLE_KEY,
      prompt: "an ad [length=40]",
    });
    expect(view).toMatchObject({ status: 200, isWhole: true });
    expect(view.tokens).toHaveLength(40);
    const placements = box.process
      .listLines()
      .filter((line) => line.includes('"decision":"placed"'));
    expect(placements).toHaveLength(1);
    expect(JSON.parse(placements[0]!)).toMatchObject({
      server: "engine-1",
      reason: "only_one",
    });
  });
});
