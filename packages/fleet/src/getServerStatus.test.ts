import { describe, expect, it } from "vitest";
import type { DataHallName, Ms, ServiceName } from "@stairgauge/common";
import {
  createServerDirectory,
  type LeavingReason,
  type ServerId,
  type ServerName,
} from "@stairgauge/directory";
import { createLoadRegistry } from "@stairgauge/placement";
import { getServerStatus } from "./getServerStatus.js";

const SERVER = "a" as ServerId;

const makeSources = (reason?: LeavingReason) => {
  const directory = createServerDirectory({
    memory: 1_000 as Ms,
    onEvent: () => undefined,
  });
  const registry = createLoadRegistry();
  const entry = {
    id: SERVER,
    name: "server" as ServerName,
    startedAt: undefined,
    service: "s" as ServiceName,
    address: { host: "10.0.0.1", port: 80 },
    dataHall: "h" as DataHallName,
    slots: 6,
    isLeaving: false,
    warmUpLeft: 0 as Ms,
  };
  directory.put(entry, 0 as Ms);
  if (reason) directory.mark(SERVER, reason, 100 as Ms);
  return { directory, registry };
};

describe("getServerStatus", () => {
  it.each<[string, LeavingReason]>([
    ["leaving", "entry_says_leaving"],
    ["leaving", "report"],
    ["leaving", "told_by_box"],
    ["gone", "entry_gone"],
    ["gone", "address_reused"],
    ["gone", "started_again"],
  ])("returns %s with the age of the mark for the reason %s", (kind, reason) => {
    const status = getServerStatus(makeSources(reason), SERVER, 350 as Ms);
    expect(status).toEqual({ kind, age: 250 });
  });

  it("returns gone without an age for a server that is no longer listed", () => {
    const { directory, registry } = makeSources("report");
    directory.dropForgotten(1_200 as Ms);
    expect(getServerStatus({ directory, registry }, SERVER, 1_300 as Ms)).toEqual({
      kind: "gone",
      age: undefined,
    });
  });

  it("returns ready with the age of the last report for a server that is not leaving", () => {
    const { directory, registry } = makeSources();
    const ready = { directory, registry };
    expect(getServerStatus(ready, SERVER, 50 as Ms)).toEqual({
      kind: "ready",
      age: undefined,
    });
    const report = {
      startedAt: undefined,
      isLeaving: false,
      leavesIn: undefined,
      waiting: 0,
      firstWaitingTokens: 0,
      running: 0,
      memoryUsed: 0,
      memoryTotal: 1,
      runs: [],
    };
    registry.putReport(SERVER, report, 40 as Ms);
    expect(getServerStatus(ready, SERVER, 70 as Ms)).toEqual({ kind: "ready", age: 30 });
  });
});
