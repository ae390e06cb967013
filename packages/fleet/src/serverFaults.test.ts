import { expect, it } from "vitest";
import { createVirtualClock, type Ms } from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import { createServerFaults, type UnreachableReport } from "./serverFaults.js";

const SERVER = { entry: { id: "a" as ServerId } } as BackendServer;

it("reports with an unreachable server when it last answered and what other boxes have there", () => {
  const clock = createVirtualClock();
  const reports: UnreachableReport[] = [];
  const faults = createServerFaults({
    clock,
    registry: { listPeerRuns: () => [{ id: "run of another box" } as never] },
    coldPeriods: { onUnreachable: () => undefined },
    onBroken: () => undefined,
    onUnreachable: (report) => reports.push(report),
  });
  faults.recordUnreachable(SERVER);
  faults.recordAnswered(SERVER);
  clock.advance(400 as Ms);
  faults.recordUnreachable(SERVER);
  expect(reports).toEqual([
    { server: "a", answeredAgo: undefined, runsOfOthers: 1 },
    { server: "a", answeredAgo: 400, runsOfOthers: 1 },
  ]);
});
