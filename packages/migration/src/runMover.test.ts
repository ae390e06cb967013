import { describe, expect, it } from "vitest";
import {
  advanceSettled,
  collectRejections,
  createVirtualClock,
  Ok,
  type DataHallName,
  type Ms,
  type ServiceName,
} from "@stairgauge/common";
import type { BackendServer, ServerId, ServerName } from "@stairgauge/directory";
import type { ActiveRun, ClientRequestId } from "@stairgauge/forwarding";
import { createRunMover, type CopyAnswer, type CopyRequest } from "./index.js";

const makeServer = (id: string): BackendServer => ({
  entry: {
    id: id as ServerId,
    name: id as ServerName,
    startedAt: undefined,
    service: "s" as ServiceName,
    address: { host: `host-${id}`, port: 80 },
    dataHall: "h" as DataHallName,
    slots: 4,
    isLeaving: false,
    warmUpLeft: 0 as Ms,
  },
  leaving: undefined,
});

const EMPTY_REPORT = {
  startedAt: undefined,
  isLeaving: true,
  leavesIn: undefined,
  waiting: 0,
  firstWaitingTokens: 0,
  running: 0,
  memoryUsed: 0,
  memoryTotal: 1,
  runs: [],
} as const;

/** Sets up a run at `old` with two targets. Copy calls get the `answers` in turn, each after 100 ms. */
const setUp = (
  answers: readonly CopyAnswer[],
  changes: { isResumable?: boolean; hasStandby?: boolean; badPlans?: number } = {},
) => {
  const clock = createVirtualClock();
  const servers = new Map(["old", "new", "other"].map((id) => [id, makeServer(id)]));
  const old = servers.get("old")!;
  const pendingAnswers = [...answers];
  let badPlans = changes.badPlans ?? 0;
  const calls: CopyRequest[] = [];
  const decisions: string[] = [];
  const dropped: string[] = [];
  /** Ids of servers whose data hall is closed to new work. */
  const closedHalls = new Set<string>();
  const leavingServers = new Set(["old"]);
  let reserved = 0;
  const run: ActiveRun = {
    id: "r1" as ClientRequestId,
    route: { isResumable: changes.isResumable ?? false } as ActiveRun["route"],
    getServer: () => old,
    hasBegun: () => true,
    getEventsMade: () => 10,
    getTokens: () => 3_000,
    getTokensLeft: () => 500,
    getBinding: () => undefined,
  };
  const mover = createRunMover({
    clock,
    actions: {
      readReport: () => Promise.resolve(Ok(EMPTY_REPORT)),
      copyRun: (request) => {
        calls.push(request);
        const answer = pendingAnswers.shift() ?? { kind: "no_answer", detail: "silent" };
        return new Promise((resolve) => {
          clock.setTimer(100 as Ms, () => resolve(answer));
        });
      },
      dropCopy: (_engine, handle) => {
        dropped.push(handle);
        return Promise.resolve();
      },
    },
    findServer: (id) => servers.get(id),
    listRunsAt: () => [run],
    isLeaving: (server) => leavingServers.has(server.entry.id),
    mayTake: ({ entry }) => entry.id !== "old" && !closedHalls.has(entry.id),
    isHallClosed: ({ entry }) => closedHalls.has(entry.id),
    makePlan: () => {
      badPlans -= 1;
      if (badPlans >= 0) return Promise.reject(new Error("fault of the test"));
      return Promise.resolve({
        planRun: () => ({ copyAt: 0 as Ms, targets: ["new", "other"] as ServerId[] }),
      });
    },
    takeStandby: () => {
      const server = servers.get("new")!;
      const memory = { source: old.entry.address, handle: "s" };
      const standby = { copy: { server, memory }, release: () => undefined };
      return Promise.resolve(changes.hasStandby ? standby : undefined);
    },
    dropStandby: () => undefined,
    rankNow: () => Promise.resolve(["other", "new"] as ServerId[]),
    reserve: () => {
      reserved += 1;
      return () => {
        reserved -= 1;
      };
    },
    onDecision: (_run, { kind }) => decisions.push(kind),
  });
  const advance = (duration: number) => advanceSettled(clock, duration as Ms);
  const getReserved = () => reserved;
  return {
    mover,
    run,
    old,
    calls,
    decisions,
    dropped,
    closedHalls,
    leavingServers,
    advance,
    getReserved,
  };
};

const makeCopied = (handle: string): CopyAnswer => ({
  kind: "copied",
  handle,
  eventsMade: 10,
});

describe("createRunMover", () => {
  it("copies a run while it continues, stops it, and continues it from the copy at once", async () => {
    const { mover, run, old, calls, advance, getReserved } = setUp([
      makeCopied("h"),
      makeCopied("h"),
    ]);
    mover.onServerLeaving(old);
    await advance(100);
    expect(calls.map(({ isLast, target }) => [target.host, isLast])).toEqual([
      ["host-new", false],
      ["host-new", true],
    ]);
    const found = await mover.recover(run, "stopped");
    expect(found).toMatchObject({
      server: { entry: { id: "new" } },
      memory: { source: { host: "host-old" }, handle: "h" },
    });
    expect(getReserved()).toBe(1);
    mover.onFinished(run);
    expect(getReserved()).toBe(0);
  });

  it("attempts the next target when one lacks memory", async () => {
    const refused: CopyAnswer = { kind: "no_room", handle: undefined };
    const { mover, run, old, advance } = setUp([
      refused,
      makeCopied("h2"),
      makeCopied("h2"),
    ]);
    mover.onServerLeaving(old);
    await advance(200);
    expect(await mover.recover(run, "stopped")).toMatchObject({
      server: { entry: { id: "other" } },
    });
  });

  it("ranks the targets again when all lacked memory and the engine still runs", async () => {
    const refused: CopyAnswer = { kind: "no_room", handle: undefined };
    const { mover, run, old, calls, decisions, advance } = setUp([
      refused,
      refused,
      makeCopied("h3"),
      makeCopied("h3"),
    ]);
    mover.onServerLeaving(old);
    await advance(200);
    expect(decisions.at(-1)).toBe("no_target");
    await advance(400);
    expect(calls.map(({ target }) => target.host)).toEqual([
      "host-new",
      "host-other",
      "host-other",
      "host-other",
    ]);
    expect(await mover.recover(run, "stopped")).toMatchObject({
      server: { entry: { id: "other" } },
    });
  });

  it("continues from the copy when the engine dies before the run was stopped", async () => {
    const lost: CopyAnswer = { kind: "no_answer", detail: "reset" };
    const { mover, run, old, decisions, advance } = setUp([makeCopied("h"), lost]);
    mover.onServerLeaving(old);
    await advance(250);
    expect(await mover.recover(run, "reset")).toMatchObject({ memory: { handle: "h" } });
    expect(decisions).toContain("goes_on_from_copy");
  });

  it("keeps the copy and attempts no other target when the stop is refused for lack of memory", async () => {
    const refused: CopyAnswer = { kind: "no_room", handle: undefined };
    const { mover, run, old, calls, advance } = setUp([makeCopied("h"), refused]);
    mover.onServerLeaving(old);
    await advance(2_000);
    expect(calls.map(({ target, isLast }) => [target.host, isLast])).toEqual([
      ["host-new", false],
      ["host-new", true],
    ]);
    expect(await mover.recover(run, "reset")).toMatchObject({
      server: { entry: { id: "new" } },
      memory: { handle: "h" },
    });
  });

  it("reports a run as not recovered when its engine dies before the copy is complete", async () => {
    const { mover, run, old, decisions, advance } = setUp([
      { kind: "no_answer", detail: "reset" },
    ]);
    mover.onServerLeaving(old);
    await advance(50);
    expect(await mover.recover(run, "reset")).toBeUndefined();
    expect(decisions.at(-1)).toBe("not_recovered");
  });

  it("continues at the source when the target refuses the run after the copy", async () => {
    const { mover, run, old, advance } = setUp([makeCopied("h"), makeCopied("h")]);
    mover.onServerLeaving(old);
    await advance(250);
    await mover.recover(run, "stopped");
    mover.onContinued(run, { kind: "refused", status: 503 });
    const continuations = [
      await mover.recover(run, "refused"),
      await mover.recover(run, "refused"),
    ];
    expect(continuations.map((found) => found?.server.entry.id)).toContain("old");
    expect(await mover.recover(run, "refused")).toBeUndefined();
  });

  it("copies and stops a run whose connection was lost at a living engine, and continues from the copy", async () => {
    const { mover, run, calls, advance } = setUp([makeCopied("h"), makeCopied("h")]);
    const found = mover.recover(run, "silent over a lost path");
    await advance(1_000);
    expect(calls.map(({ target, isLast }) => [target.host, isLast])).toEqual([
      ["host-other", false],
      ["host-other", true],
    ]);
    expect(await found).toMatchObject({
      server: { entry: { id: "other" } },
      memory: { source: { host: "host-old" }, handle: "h" },
    });
  });

  it("does not continue a run from a copy whose engine did not confirm the stop", async () => {
    const lost: CopyAnswer = { kind: "no_answer", detail: "timed out" };
    const { mover, run, advance } = setUp([makeCopied("h"), lost]);
    const found = mover.recover(run, "silent over a lost path");
    await advance(2_000);
    expect(await found).toBeUndefined();
  });

  it("stops a run at its source before it continues from a standby copy, since only the connection may be lost", async () => {
    const { mover, run, calls, advance } = setUp([makeCopied("s")], { hasStandby: true });
    const found = mover.recover(run, "reset");
    await advance(100);
    expect(
      calls.map(({ target, isLast, limit }) => [target.host, isLast, limit]),
    ).toEqual([["host-new", true, 250]]);
    expect(await found).toMatchObject({
      server: { entry: { id: "new" } },
      memory: { source: { host: "host-old" }, handle: "s" },
    });
  });

  it("continues from a standby copy when the engine is dead", async () => {
    const lost: CopyAnswer = { kind: "no_answer", detail: "refused" };
    const { mover, run, advance } = setUp([lost], { hasStandby: true });
    const found = mover.recover(run, "reset");
    await advance(100);
    expect(await found).toMatchObject({ memory: { handle: "s" } });
  });

  it("updates a standby copy when the engine leaves, and attempts no other target", async () => {
    const { mover, run, old, calls, advance } = setUp(
      [makeCopied("s"), makeCopied("s")],
      {
        hasStandby: true,
      },
    );
    mover.onServerLeaving(old);
    await advance(250);
    expect(calls.map(({ target, isLast }) => [target.host, isLast])).toEqual([
      ["host-new", false],
      ["host-new", true],
    ]);
    expect(await mover.recover(run, "stopped")).toMatchObject({
      memory: { handle: "s" },
    });
  });

  it("frees an unused copy, but not one that the run continued from", async () => {
    const { mover, run, old, dropped, advance } = setUp([makeCopied("h")]);
    mover.onServerLeaving(old);
    await advance(100);
    mover.onFinished(run);
    expect(dropped).toEqual(["h"]);
    const moved = setUp([makeCopied("h"), makeCopied("h")]);
    moved.mover.onServerLeaving(moved.old);
    await moved.advance(250);
    await moved.mover.recover(moved.run, "stopped");
    moved.mover.onContinued(moved.run, { kind: "goes_on" });
    moved.mover.onFinished(moved.run);
    expect(moved.dropped).toEqual([]);
  });

  it("moves no run to an engine whose data hall is closed to new work", async () => {
    const { mover, run, old, calls, closedHalls, advance } = setUp([
      makeCopied("h"),
      makeCopied("h"),
    ]);
    closedHalls.add("new");
    mover.onServerLeaving(old);
    await advance(250);
    expect(calls.map(({ target }) => target.host)).toEqual(["host-other", "host-other"]);
    expect(await mover.recover(run, "stopped")).toMatchObject({
      server: { entry: { id: "other" } },
    });
  });

  it("continues neither from a copy nor at the source once their data halls are closed", async () => {
    const { mover, run, old, decisions, closedHalls, advance } = setUp([
      makeCopied("h"),
      makeCopied("h"),
    ]);
    mover.onServerLeaving(old);
    await advance(250);
    closedHalls.add("new");
    closedHalls.add("old");
    expect(await mover.recover(run, "stopped")).toBeUndefined();
    expect(decisions.at(-1)).toBe("not_recovered");
  });

  it("moves a run that begins at an engine that is already leaving", async () => {
    const { mover, run, calls, advance } = setUp([makeCopied("h"), makeCopied("h")]);
    mover.onBegun(run);
    await advance(100);
    expect(calls).toHaveLength(2);
  });

  it.each([
    { stop: makeCopied("h"), expected: "stopped" },
    { stop: { kind: "no_room", handle: "h" }, expected: "stopped" },
    { stop: { kind: "no_such_run" }, expected: "none" },
    { stop: { kind: "under_way" }, expected: "none" },
    { stop: { kind: "no_answer", detail: "timeout" }, expected: "unknown" },
  ] as const)(
    "tells once it knows whether a run was stopped: $stop.kind",
    async (row) => {
      const { mover, run, old, advance } = setUp([makeCopied("h"), row.stop]);
      expect(await mover.findStop(run)).toBe("none");
      mover.onServerLeaving(old);
      await advance(100);
      const found = mover.findStop(run);
      await advance(100);
      expect(await found).toBe(row.expected);
      mover.onContinued(run, { kind: "goes_on" });
      expect(await mover.findStop(run)).toBe("none");
    },
  );

  it("cancels a move once the engine no longer leaves, and moves the run if it leaves again", async () => {
    const site = setUp([makeCopied("h"), makeCopied("i"), makeCopied("i")]);
    const { mover, run, old, calls, decisions, dropped, leavingServers, advance } = site;
    mover.onServerLeaving(old);
    await advance(50);
    leavingServers.delete("old");
    await advance(300);
    expect(calls.map(({ isLast }) => isLast)).toEqual([false]);
    expect(decisions).toContain("move_cancelled");
    expect(dropped).toEqual(["h"]);
    expect(site.getReserved()).toBe(0);
    expect(await mover.findStop(run)).toBe("none");

    leavingServers.add("old");
    mover.onServerLeaving(old);
    await advance(100);
    expect(calls.map(({ isLast }) => isLast)).toEqual([false, false, true]);
  });

  it("copies nothing for a resumable stream", async () => {
    const { mover, old, calls, advance } = setUp([makeCopied("h")], {
      isResumable: true,
    });
    mover.onServerLeaving(old);
    await advance(200);
    expect(calls).toEqual([]);
  });

  it("makes a new plan for the next run after one could not be made", async () => {
    const { mover, run, calls, advance } = setUp([makeCopied("h")], { badPlans: 1 });
    await collectRejections(async () => {
      mover.onBegun(run);
      await advance(10);
    });
    mover.onBegun({ ...run, id: "r2" as ClientRequestId });
    await advance(10);
    expect(calls.map(({ id }) => id)).toEqual(["r2"]);
  });
});
