import { describe, expect, it } from "vitest";
import {
  advanceSettled,
  collectRejections,
  createSeededRandom,
  createVirtualClock,
  Err,
  Ok,
  type DataHallName,
  type Ms,
  type ServiceName,
} from "@stairgauge/common";
import {
  createServerDirectory,
  type ServerId,
  type ServerName,
} from "@stairgauge/directory";
import type { EngineActions } from "@stairgauge/migration";
import { createLoadRegistry, type EngineReport } from "@stairgauge/placement";
import { createReportPoller } from "./pollReports.js";

const REPORT: EngineReport = {
  startedAt: undefined,
  isLeaving: false,
  leavesIn: undefined,
  waiting: 0,
  firstWaitingTokens: 0,
  running: 0,
  memoryUsed: 0,
  memoryTotal: 34_000,
  runs: [],
};
const STARTED_AT = 1_700_000_000_000 as Ms;
const ENGINES = ["e1", "e2", "e3"].map((id) => id as ServerId);

const setUp = (watched: ReadonlySet<ServerId>, watchers: number) => {
  const clock = createVirtualClock();
  const random = createSeededRandom(2);
  const directory = createServerDirectory({
    memory: 1_000 as Ms,
    onEvent: () => undefined,
  });
  let interval = 2_000 as Ms;
  let requestCount = 0;
  let polledCount = 0;
  let reportCount = 0;
  let suspendedFor = 0;
  let isAnswering = true;
  /** Time for which the process is suspended after each report is sent. */
  let suspension = 0 as Ms;
  let startedAt = STARTED_AT;
  let isThrowing = false;
  const readReport: EngineActions["readReport"] = () => {
    requestCount += 1;
    if (isThrowing) throw new Error("odd");
    suspendedFor += suspension;
    return Promise.resolve(
      isAnswering ? Ok({ ...REPORT, startedAt }) : Err({ kind: "no_answer", detail: "" }),
    );
  };
  const poller = createReportPoller({
    clock: {
      ...clock,
      boottime: () => (clock.monotonic() + suspendedFor) as Ms,
    },
    random,
    directory,
    registry: createLoadRegistry(),
    actions: { readReport } as EngineActions,
    getInterval: () => interval,
    limit: 500 as Ms,
    shares: { isWatcher: (id) => watched.has(id), countWatchers: () => watchers },
    isEngineService: () => true,
    onReport: () => {
      reportCount += 1;
    },
    onPolled: () => {
      polledCount += 1;
    },
  });
  for (const id of ENGINES) {
    directory.put(
      {
        id,
        name: `name-${id}` as ServerName,
        startedAt: STARTED_AT,
        service: "s" as ServiceName,
        address: { host: "10.0.0.1", port: 80 },
        dataHall: "h" as DataHallName,
        slots: 24,
        isLeaving: false,
        warmUpLeft: 0 as Ms,
      },
      0 as Ms,
    );
    poller.add(directory.find(id)!);
  }
  return {
    clock,
    poller,
    countRequests: () => requestCount,
    countPolled: () => polledCount,
    countReports: () => reportCount,
    setSuspension: (duration: number) => {
      suspension = duration as Ms;
    },
    setInterval: (next: number) => {
      interval = next as Ms;
    },
    setThrowing: (throwing: boolean) => {
      isThrowing = throwing;
    },
    fail: () => {
      isAnswering = false;
    },
    restart: () => {
      startedAt = (STARTED_AT + 1) as Ms;
    },
    listStaying: () => directory.list().filter(({ leaving }) => leaving === undefined),
  };
};

describe("createReportPoller", () => {
  it("polls the engines that it watches at the interval of all watchers together, and passes the reports on", async () => {
    const { clock, poller, countRequests, countPolled } = setUp(
      new Set(ENGINES.slice(0, 2)),
      2,
    );
    await advanceSettled(clock, 40_000 as Ms);
    poller.stop();
    // Two engines, each polled every 4 s or a little later.
    expect(countRequests()).toBeGreaterThanOrEqual(16);
    expect(countRequests()).toBeLessThanOrEqual(24);
    expect(countPolled()).toBe(countRequests());
  });

  it("polls more often soon after the interval became shorter, without waiting for the old one to end", async () => {
    const { clock, poller, countRequests, setInterval } = setUp(new Set(ENGINES), 1);
    await advanceSettled(clock, 10_000 as Ms);
    const before = countRequests();
    setInterval(500);
    await advanceSettled(clock, 4_000 as Ms);
    poller.stop();
    expect(countRequests() - before).toBeGreaterThanOrEqual(15);
  });

  it("ignores the report of a restarted engine and marks the previous start as gone", async () => {
    const { clock, poller, countPolled, restart, listStaying } = setUp(
      new Set(ENGINES),
      1,
    );
    restart();
    await advanceSettled(clock, 10_000 as Ms);
    poller.stop();
    expect(countPolled()).toBe(0);
    expect(listStaying()).toEqual([]);
  });

  it("passes nothing on for an engine that doesn't answer, and keeps polling it", async () => {
    const { clock, poller, countRequests, countPolled, fail } = setUp(
      new Set(ENGINES),
      1,
    );
    fail();
    await advanceSettled(clock, 10_000 as Ms);
    poller.stop();
    expect(countRequests()).toBeGreaterThan(6);
    expect(countPolled()).toBe(0);
  });

  it("ignores reports of the time before the process was suspended", async () => {
    const { clock, poller, countReports, countRequests, setSuspension } = setUp(
      new Set(ENGINES),
      1,
    );
    setSuspension(600);
    await advanceSettled(clock, 5_000 as Ms);
    expect(countRequests()).toBeGreaterThan(0);
    expect(countReports()).toBe(0);
    setSuspension(0);
    await advanceSettled(clock, 5_000 as Ms);
    poller.stop();
    expect(countReports()).toBeGreaterThan(0);
  });

  it("polls an engine again after a poll that throws", async () => {
    const { clock, poller, countPolled, setThrowing } = setUp(new Set(ENGINES), 1);
    setThrowing(true);
    const errors = await collectRejections(() => advanceSettled(clock, 10_000 as Ms));
    setThrowing(false);
    await advanceSettled(clock, 10_000 as Ms);
    poller.stop();
    expect(errors).toContainEqual(new Error("odd"));
    expect(countPolled()).toBeGreaterThanOrEqual(ENGINES.length);
  });
});
