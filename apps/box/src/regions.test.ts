/**
 * Routes and workspaces may be bound to regions. A bound request goes only to servers of these
 * regions, and to none if they have none; other requests go anywhere.
 */
import { describe, expect, it } from "vitest";
import {
  ask,
  makeGeneration,
  startSite,
  waitFor,
  waitMs,
  type Answer,
  type Line,
} from "./box.testkit.js";

const REGIONS = 'regions: { hall-a: "north", hall-b: "south" }';

const startTwoRegions = async () => {
  const started = await startSite(2, 2, { more: REGIONS });
  const { site } = started;
  for (const servers of [site.engines, site.services])
    site.putHall(servers[1]!, "hall-b");
  await started.start();
  return started;
};

const awaitVersion = (lines: readonly Line[], version: number) =>
  waitFor(() =>
    lines.some(
      (line) => line.event === "configuration_adopted" && line.version === version,
    ),
  );

/** Asks again after a refusal by a box that was suspended for so long that it has to read the store first. */
const askUntilKnown = async (...args: Parameters<typeof ask>): Promise<Answer> => {
  const answer = await ask(...args);
  if (!answer.body.includes("knowledge_too_old")) return answer;
  await waitMs(1_000 * Number(answer.headers["retry-after"]));
  return askUntilKnown(...args);
};

describe("requests that are bound to regions", () => {
  it.each(["routes", "workspace"] as const)(
    "by %s go to no other region",
    async (who) => {
      const { site, ports, lines } = await startTwoRegions();
      site.limitRegions(who, ["south"]);
      await awaitVersion(lines, 2);
      for (let i = 0; i < 8; i += 1) {
        const plain = await askUntilKnown(ports, { path: "/once/" });
        expect(plain.status).toBe(200);
        const headers = makeGeneration(300, 4);
        const stream = await askUntilKnown(ports, { path: "/draft/1", headers });
        expect(stream.status).toBe(200);
      }
      expect(site.services[0]!.listReceived()).toEqual([]);
      expect(site.services[1]!.listReceived()).toHaveLength(8);
      expect(site.engines[0]!.listStarted()).toEqual([]);
      expect(site.engines[1]!.listStarted()).toHaveLength(8);
    },
  );

  it("are refused as not run if these regions have no server", async () => {
    const { site, ports, lines } = await startTwoRegions();
    site.limitRegions("routes", ["west"]);
    await awaitVersion(lines, 2);
    const answer = await ask(ports, { path: "/once/" });
    expect(answer.status).toBe(503);
    expect(answer.body).toContain("no_server_in_regions");
  });
});
