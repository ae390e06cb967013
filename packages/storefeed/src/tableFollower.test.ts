import { describe, expect, it } from "vitest";
import {
  advanceSettled,
  createSeededRandom,
  createVirtualClock,
  Err,
  Ok,
  type Ms,
  type Result,
} from "@stairgauge/common";
import {
  createRevisionMark,
  createTableFollower,
  type StoreFailure,
  type StoreReader,
  type TableChanges,
  type TableSnapshot,
} from "./index.js";

type Step = Readonly<
  | { whole: Result<TableSnapshot, StoreFailure> }
  | { changes: Result<TableChanges, StoreFailure>; after?: number }
  /** No answer at all, until the call is given up. */
  | { silence: "whole" | "changes" }
>;

const source = { kind: "store" } as const;

const makeRow = (key: string, revision: number) => ({
  key,
  value: Buffer.from(`${revision}`),
  revision,
});

/** Plays one answer after another; a call that does not fit the script fails the test. */
const setUp = (steps: readonly Step[], gather = 0) => {
  const clock = createVirtualClock();
  const told: string[] = [];
  const calls: string[] = [];
  const script = [...steps];
  const waitForAbort = (signal: AbortSignal) =>
    new Promise<Result<never, StoreFailure>>((resolve) => {
      signal.addEventListener("abort", () => resolve(Err({ kind: "timed_out" })));
    });
  const reader: StoreReader = {
    readTable: ({ signal }) => {
      calls.push("whole");
      const step = script.shift();
      if (!step) return waitForAbort(signal);
      if ("silence" in step) return waitForAbort(signal);
      if (!("whole" in step)) throw new TypeError("read whole out of turn");
      return Promise.resolve(step.whole);
    },
    awaitChanges: ({ since, wait, signal }) => {
      calls.push(`changes since ${since}`);
      const step = script.shift();
      if (!step || "silence" in step) return waitForAbort(signal);
      if (!("changes" in step)) throw new TypeError("followed out of turn");
      return new Promise((resolve) => {
        clock.setTimer((step.after ?? wait) as Ms, () => resolve(step.changes));
      });
    },
  };
  const follower = createTableFollower({
    table: "t",
    reader,
    clock,
    random: createSeededRandom(1),
    wait: 1_000 as Ms,
    gather: gather as Ms,
    patience: 500 as Ms,
    retryPause: { first: 100 as Ms, most: 400 as Ms },
    revisions: createRevisionMark(),
    onStaleRead: () => undefined,
    sink: {
      onWhole: (rows, asOf) =>
        told.push(`whole ${rows.map((r) => r.key).join()} as of ${asOf}`),
      onChanges: (changes, asOf) => told.push(`${changes.length} changes as of ${asOf}`),
      onFailure: (failure, inARow) => told.push(`${failure.kind} ${inARow}`),
      onRegained: () => told.push("regained"),
    },
  });
  return { clock, follower, told, calls };
};

describe("createTableFollower", () => {
  it("reads whole, then follows; an answer counts from when it was asked for", async () => {
    const { clock, follower, told, calls } = setUp([
      { whole: Ok({ rows: [makeRow("a", 5)], revision: 7, source }) },
      { changes: Ok({ changes: [], revision: 9, source }) },
      {
        changes: Ok({ changes: [{ kind: "gone", key: "a" }], revision: 10, source }),
        after: 40,
      },
    ]);
    follower.start();
    await advanceSettled(clock, 1_100 as Ms);
    follower.stop();
    expect(told).toEqual([
      "whole a as of 0",
      "0 changes as of 0",
      "1 changes as of 1000",
    ]);
    expect(calls.slice(0, 3)).toEqual(["whole", "changes since 7", "changes since 9"]);
  });

  it("lets changes gather where that is asked for, and loses no time without one", async () => {
    const { clock, follower, calls } = setUp(
      [
        { whole: Ok({ rows: [], revision: 1, source }) },
        {
          changes: Ok({ changes: [{ kind: "gone", key: "a" }], revision: 2, source }),
          after: 10,
        },
        { changes: Ok({ changes: [], revision: 5, source }), after: 10 },
      ],
      300,
    );
    follower.start();
    await advanceSettled(clock, 300 as Ms);
    expect(calls).toEqual(["whole", "changes since 1"]);
    await advanceSettled(clock, 25 as Ms);
    expect(calls.slice(2)).toEqual(["changes since 2", "changes since 5"]);
    follower.stop();
  });

  it("reads whole again when the history is gone, without a pause", async () => {
    const { clock, follower, told } = setUp([
      { whole: Ok({ rows: [], revision: 1, source }) },
      { changes: Err({ kind: "history_gone" }), after: 10 },
      { whole: Ok({ rows: [makeRow("b", 2)], revision: 2, source }) },
    ]);
    follower.start();
    await advanceSettled(clock, 20 as Ms);
    follower.stop();
    expect(told).toEqual(["whole  as of 0", "whole b as of 10"]);
  });

  it("does not take a whole read that is older than what the store has shown", async () => {
    const { clock, follower, told } = setUp([
      { whole: Ok({ rows: [], revision: 9, source }) },
      { changes: Err({ kind: "history_gone" }), after: 10 },
      { whole: Ok({ rows: [makeRow("old", 3)], revision: 4, source }) },
      { whole: Ok({ rows: [makeRow("new", 9)], revision: 9, source }) },
    ]);
    follower.start();
    await advanceSettled(clock, 300 as Ms);
    follower.stop();
    expect(told).toEqual(["whole  as of 0", "whole new as of 110"]);
  });

  it("gives a silent store up, says so once a failure, and takes up again", async () => {
    const { clock, follower, told } = setUp([
      { whole: Ok({ rows: [], revision: 1, source }) },
      { silence: "changes" },
      { whole: Err({ kind: "refused", status: 503 }) },
      { whole: Ok({ rows: [], revision: 1, source }) },
    ]);
    follower.start();
    await advanceSettled(clock, 2_500 as Ms);
    follower.stop();
    expect(told.slice(1, 4)).toEqual(["timed_out 1", "refused 2", "regained"]);
    expect(told[4]).toMatch(/^whole {2}as of /);
  });
});
