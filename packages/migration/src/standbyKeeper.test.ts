import { beforeEach, describe, expect, it } from "vitest";
import {
  advanceSettled,
  collectRejections,
  createVirtualClock,
  type DataHallName,
  type Ms,
  type ServiceName,
  type VirtualClock,
} from "@stairgauge/common";
import type { BackendServer, ServerId, ServerName } from "@stairgauge/directory";
import type { ActiveRun, ClientRequestId } from "@stairgauge/forwarding";
import { createStandbyKeeper, type CopyAnswer, type StandbyKeeper } from "./index.js";

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

const SOURCE = makeServer("source");
const TARGET = makeServer("target");
const COPY_TIME_MS = 100;

const makeRun = (id: string): ActiveRun => ({
  id: id as ClientRequestId,
  route: { isResumable: false } as ActiveRun["route"],
  getServer: () => SOURCE,
  hasBegun: () => true,
  getEventsMade: () => 10,
  getTokens: () => 3_000,
  getTokensLeft: () => 500,
  getBinding: () => undefined,
});

describe("createStandbyKeeper", () => {
  let clock: VirtualClock;
  let keeper: StandbyKeeper;
  let runs: ActiveRun[];
  let isExposed: boolean;
  let leaving: Set<BackendServer>;
  let answers: CopyAnswer[];
  let copied: string[];
  let dropped: string[];
  let reserved: number;
  let isThrowing: boolean;
  let decisions: string[];
  const run = makeRun("r1");

  beforeEach(() => {
    clock = createVirtualClock();
    runs = [run];
    isExposed = true;
    leaving = new Set();
    answers = [];
    copied = [];
    dropped = [];
    reserved = 0;
    isThrowing = false;
    decisions = [];
    keeper = createStandbyKeeper({
      clock,
      actions: {
        copyRun: ({ id, isLast }) => {
          if (isThrowing) throw new Error("odd");
          copied.push(`${id}${isLast ? " last" : ""}`);
          const answer = answers.shift() ?? {
            kind: "copied",
            handle: `h-${id}`,
            eventsMade: 10,
          };
          return new Promise((resolve) => {
            clock.setTimer(COPY_TIME_MS as Ms, () => resolve(answer));
          });
        },
        dropCopy: (_engine, handle) => {
          dropped.push(handle);
          return Promise.resolve();
        },
      },
      listRuns: () => runs,
      isExposed: () => isExposed,
      mayTake: (server) => !leaving.has(server),
      findTarget: () => TARGET,
      reserve: () => {
        reserved += 1;
        return () => {
          reserved -= 1;
        };
      },
      getCopyLife: () => 5_000 as Ms,
      onDecision: (_run, { kind }) => decisions.push(kind),
    });
    keeper.start();
  });

  const advance = (duration: number) => advanceSettled(clock, duration as Ms);

  it("copies an exposed run once without stopping it, and gives the copy to the first taker", async () => {
    await advance(1_000);
    expect(copied).toEqual(["r1"]);
    expect(reserved).toBe(1);
    const standby = await keeper.take(run);
    expect(standby?.copy).toEqual({
      server: TARGET,
      memory: { source: SOURCE.entry.address, handle: "h-r1" },
    });
    standby?.release();
    expect(reserved).toBe(0);
    expect(await keeper.take(run)).toBeUndefined();
  });

  it("copies no run that is not exposed", async () => {
    isExposed = false;
    await advance(2_000);
    expect(copied).toEqual([]);
  });

  it("updates a copy before its engine drops it, and frees it once the run is not exposed", async () => {
    await advance(4_500);
    expect(copied).toEqual(["r1", "r1"]);
    isExposed = false;
    await advance(4_000);
    expect(copied).toHaveLength(2);
    expect(dropped).toEqual(["h-r1"]);
    expect(reserved).toBe(0);
  });

  it("frees the copy of a run that has ended", async () => {
    await advance(1_000);
    keeper.drop(run);
    expect(dropped).toEqual(["h-r1"]);
    expect(reserved).toBe(0);
  });

  it("frees the copy of a run that ended during the copy", async () => {
    await advance(450);
    runs = [];
    await advance(100);
    expect(dropped).toEqual(["h-r1"]);
    expect(await keeper.take(run)).toBeUndefined();
  });

  it("waits for the copy in progress when its run has to move", async () => {
    await advance(450);
    runs = [];
    const taken = keeper.take(run);
    await advance(100);
    expect((await taken)?.copy.memory.handle).toBe("h-r1");
    expect(dropped).toEqual([]);
  });

  it("frees a copy instead of giving it away when its own engine leaves", async () => {
    await advance(1_000);
    leaving.add(TARGET);
    expect(await keeper.take(run)).toBeUndefined();
    expect(dropped).toEqual(["h-r1"]);
    expect(decisions).toContain("standby_dropped");
  });

  it("ends the reservation when the target lacks memory, and attempts a copy again later", async () => {
    answers = [{ kind: "no_room", handle: undefined }];
    await advance(550);
    expect(reserved).toBe(0);
    expect(decisions).toEqual(["standby_begun", "standby_failed"]);
    await advance(1_000);
    expect(reserved).toBe(1);
  });

  it("frees a copy that could not be updated for its whole lifetime", async () => {
    await advance(1_000);
    answers = Array.from({ length: 20 }, () => ({ kind: "no_answer", detail: "silent" }));
    await advance(6_000);
    expect(dropped).toContain("h-r1");
  });

  it("makes one copy at a time", async () => {
    runs = [run, makeRun("r2"), makeRun("r3")];
    await advance(450);
    expect(copied).toEqual(["r1"]);
    await advance(100);
    expect(copied).toEqual(["r1", "r2"]);
  });

  it("copies a run at a later check after one that throws, and frees what was reserved", async () => {
    isThrowing = true;
    const errors = await collectRejections(() => advance(500));
    expect(errors).toEqual([new Error("odd")]);
    expect(reserved).toBe(0);
    isThrowing = false;
    await advance(500);
    expect(copied).toEqual(["r1"]);
  });
});
