/**
 * Guards against calls that cannot be made, as a value of another writer does not fit into a head: requests
 * that end as lost although nothing was sent, errors without a handler, and other boxes that are blamed.
 */
import { afterEach, describe, expect, it } from "vitest";
import { SITE_KEY, startUsersSite } from "@stairgauge/standins";
import {
  ask,
  closers,
  makeDeadEntry,
  makeGeneration,
  startBox,
  startSite,
  waitFor,
  waitMs,
  type Line,
} from "./box.testkit.js";
import { startFleet } from "./fleet.testkit.js";

const KEYS = [
  ["a line break", "a b\r\nX: y"],
  ["characters beyond Latin-1", "\u4e2d\u6587"],
  ["a zero character", "a\u0000"],
  ["a delete character", "a\u007f"],
] as const;

const errors: unknown[] = [];
const recordError = (error: unknown) => void errors.push(error);
afterEach(() => {
  process.off("uncaughtException", recordError);
  errors.length = 0;
});

const startBoxes = async (count: number, key: string) => {
  process.on("uncaughtException", recordError);
  const site = await startUsersSite({ engines: 1, services: 1 });
  closers.push(site.close);
  site.putConfiguration();
  site.putRawEntry(key, makeDeadEntry("pages"));
  site.putRawEntry(`${key}-engine`, makeDeadEntry("writers"));
  const fleet =
    count === 1
      ? [await startBox(site.store.address, "box-1", { isKeyRemovalStrict: false })]
      : (await startFleet({ store: site.store.address, boxes: count, servers: 2 })).fleet;
  const isReported = (lines: readonly Line[]) =>
    lines.filter(({ event, kind }) => event === "server_list" && kind === "unreadable");
  await waitFor(() =>
    fleet.every(
      ({ lines }) =>
        isReported(lines).length === 2 ||
        lines.filter(({ event }) => event === "server_joined").length === 4,
    ),
  );
  return { site, fleet, isReported };
};

describe("a server whose name cannot be sent", () => {
  it.each(
    [1, 2].flatMap((boxes) => KEYS.map(([what, key]) => [what, boxes, key] as const)),
  )("with %s costs no request at %i boxes", async (_what, boxes, key) => {
    const { fleet, isReported } = await startBoxes(boxes, key);
    // One at a time at each box, so that the sound servers always have room.
    const askInTurn = async ({ ports }: (typeof fleet)[number]) => {
      const statuses: number[] = [];
      for (let i = 0; i < 30 / boxes; i += 1) {
        const stream = { path: "/draft/1", headers: makeGeneration(20, 5) };
        for (const one of [
          { path: "/again/", method: "GET" },
          { path: "/once/" },
          stream,
        ])
          statuses.push((await ask(ports, one)).status);
      }
      return statuses;
    };
    const statuses = (await Promise.all(fleet.map(askInTurn))).flat();
    expect(statuses).toEqual(Array.from({ length: 90 }, () => 200));
    await waitMs(50);
    expect(errors).toEqual([]);
    for (const { lines } of fleet) {
      const events = lines.map(({ event }) => event);
      expect(events).not.toContain("carrier_lost");
      expect(isReported(lines)).toHaveLength(2);
    }
  });
});

describe("a workspace whose name cannot be sent", () => {
  it.each([
    ...KEYS,
    ["a space before it", " site-workspace"] as const,
    ["more characters than a server takes", "w".repeat(20_000)] as const,
  ])(
    "with %s has its requests refused as not run, and no others",
    async (_what, name) => {
      process.on("uncaughtException", recordError);
      const { site, ports, lines, start } = await startSite(0, 1);
      await start();
      site.putConfiguration({
        tenants: [
          { name, apiKeys: ["other-key"], priority: 1 },
          { name: "site-workspace", apiKeys: [SITE_KEY], priority: 1 },
        ],
      });
      const countAdopted = () =>
        lines.filter(({ event }) => event === "configuration_adopted").length;
      await waitFor(() => countAdopted() === 2);
      const headers = { Authorization: "Token other-key" };
      for (const path of ["/again/", "/once/"]) {
        const refused = await ask(ports, { path, headers });
        expect(refused.status).toBe(503);
        expect(refused.headers["retry-after"]).toBeDefined();
        expect((await ask(ports, { path })).status).toBe(200);
      }
      expect(site.services[0]!.listReceived()).toHaveLength(2);
      expect(errors).toEqual([]);
    },
  );
});
