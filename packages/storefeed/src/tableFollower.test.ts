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
  INITIAL_REVISION,
  createRevisionWatermark,
  createTableFollower,
  makeRevision,
  type StoreFailure,
  type StoreRevision,
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

const toRevision = (version: number) => makeRevision(1, version);

const makeRow = (key: string, revision: number) => ({
  key,
  value: Buffer.from(`${revision}`),
  revision: toRevision(revision),
});

/** Plays one answer after another; a call that does not fit the script fails the test. */
const setUp = (
  steps: readonly Step[],
  gather = 0,
  revisions = createRevisionWatermark(),
) => {
  const clock = createVirtualClock();
  const told: string[] = [];
  const calls: string[] = [];
  const useful: StoreRevision[] = [];
  const script = [...steps];
  const waitForAbort = (signal: AbortSignal) =>
    new Promise<Result<never, StoreFailure>>((resolve) => {
      signal.addEventListener("abort", () => resolve(Err({ kind: "timed_out" })));
    });
  const reader: StoreReader = {
    readTable: ({ atLeast, signal }) => {
      calls.push("whole");
      useful.push(atLeast);
      const step = script.shift();
      if (!step) return waitForAbort(signal);
      if ("silence" in step) return waitForAbort(signal);
      if (!("whole" in step)) throw new TypeError("read whole out of turn");
      return Promise.resolve(step.whole);
    },
    awaitChanges: ({ since, wait, signal }) => {
      calls.push(`changes since ${since.version}`);
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
    revisions,
    onStaleRead: () => undefined,
    sink: {
      onWhole: (rows, asOf) =>
        told.push(`whole ${rows.map((r) => r.key).join()} as of ${asOf}`),
      onChanges: (changes, asOf) => told.push(`${changes.length} changes as of ${asOf}`),
      onFailure: (failure, inARow) => told.push(`${failure.kind} ${inARow}`),
      onRegained: () => told.push("regained"),
    },
  });
  return { clock, follower, told, calls, useful };
};

describe("createTableFollower", () => {
  it("reads whole, then follows; an answer counts from when it was asked for", async () => {
    const { clock, follower, told, calls } = setUp([
      { whole: Ok({ rows: [makeRow("a", 5)], revision: toRevision(7), source }) },
      { changes: Ok({ changes: [], revision: toRevision(9), source }) },
      {
        changes: Ok({
          changes: [{ kind: "gone", key: "a" }],
          revision: toRevision(10),
          source,
        }),
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
        { whole: Ok({ rows: [], revision: toRevision(1), source }) },
        {
          changes: Ok({
            changes: [{ kind: "gone", key: "a" }],
            revision: toRevision(2),
            source,
          }),
          after: 10,
        },
        { changes: Ok({ changes: [], revision: toRevision(5), source }), after: 10 },
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
      { whole: Ok({ rows: [], revision: toRevision(1), source }) },
      { changes: Err({ kind: "history_gone" }), after: 10 },
      { whole: Ok({ rows: [makeRow("b", 2)], revision: toRevision(2), source }) },
    ]);
    follower.start();
    await advanceSettled(clock, 20 as Ms);
    follower.stop();
    expect(told).toEqual(["whole  as of 0", "whole b as of 10"]);
  });

  it("does not take a whole read that is older than what the store has shown", async () => {
    const { clock, follower, told } = setUp([
      { whole: Ok({ rows: [], revision: toRevision(9), source }) },
      { changes: Err({ kind: "history_gone" }), after: 10 },
      { whole: Ok({ rows: [makeRow("old", 3)], revision: toRevision(4), source }) },
      { whole: Ok({ rows: [makeRow("new", 9)], revision: toRevision(9), source }) },
    ]);
    follower.start();
    await advanceSettled(clock, 300 as Ms);
    follower.stop();
    expect(told).toEqual(["whole  as of 0", "whole new as of 110"]);
  });

  it("gives a silent store up, says so once a failure, and takes up again", async () => {
    const { clock, follower, told } = setUp([
      { whole: Ok({ rows: [], revision: toRevision(1), source }) },
      { silence: "changes" },
      { whole: Err({ kind: "refused", status: 503 }) },
      { whole: Ok({ rows: [], revision: toRevision(1), source }) },
    ]);
    follower.start();
    await advanceSettled(clock, 2_500 as Ms);
    follower.stop();
    expect(told.slice(1, 4)).toEqual(["timed_out 1", "refused 2", "regained"]);
    expect(told[4]).toMatch(/^whole {2}as of /);
  });
});

describe("a store that comes back from a copy", () => {
  const BACK = makeRevision(2, 4);

  it("is read whole once, however much lower its versions are", async () => {
    const { clock, follower, told, calls } = setUp([
      { whole: Ok({ rows: [], revision: toRevision(90), source }) },
      { changes: Err({ kind: "history_gone" }), after: 10 },
      { whole: Ok({ rows: [makeRow("copied", 3)], revision: BACK, source }) },
      { changes: Ok({ changes: [], revision: BACK, source }) },
    ]);
    follower.start();
    await advanceSettled(clock, 300 as Ms);
    follower.stop();
    expect(told).toEqual(["whole  as of 0", "whole copied as of 10"]);
    expect(calls).toEqual(["whole", "changes since 90", "whole", "changes since 4"]);
  });

  it("is read whole where its versions have caught up and only the era tells", async () => {
    const { clock, follower, told } = setUp([
      { whole: Ok({ rows: [], revision: toRevision(9), source }) },
      {
        changes: Ok({ changes: [], revision: makeRevision(2, 30), source }),
        after: 10,
      },
      {
        whole: Ok({ rows: [makeRow("b", 20)], revision: makeRevision(2, 30), source }),
      },
    ]);
    follower.start();
    await advanceSettled(clock, 300 as Ms);
    follower.stop();
    expect(told).toEqual(["whole  as of 0", "whole b as of 10"]);
  });

  it("is read whole for every table once one of them shows the era, without a failure", async () => {
    const revisions = createRevisionWatermark();
    const { clock, follower, told, calls } = setUp(
      [
        { whole: Ok({ rows: [], revision: toRevision(9), source }) },
        { silence: "changes" },
        { whole: Ok({ rows: [makeRow("b", 2)], revision: BACK, source }) },
      ],
      0,
      revisions,
    );
    follower.start();
    await advanceSettled(clock, 50 as Ms);
    revisions.raise({ table: "other", by: "store", revision: makeRevision(2, 3) });
    await advanceSettled(clock, 1 as Ms);
    follower.stop();
    expect(told).toEqual(["whole  as of 0", "whole b as of 50"]);
    expect(calls.slice(0, 3)).toEqual(["whole", "changes since 9", "whole"]);
  });

  it("is not believed to be what it was by an answer of the era before that arrives late", async () => {
    const { clock, follower, told } = setUp([
      { whole: Ok({ rows: [], revision: BACK, source }) },
      { changes: Ok({ changes: [], revision: toRevision(99), source }), after: 10 },
      { whole: Ok({ rows: [makeRow("lost", 98)], revision: toRevision(99), source }) },
      { whole: Ok({ rows: [makeRow("kept", 3)], revision: BACK, source }) },
    ]);
    follower.start();
    await advanceSettled(clock, 300 as Ms);
    follower.stop();
    expect(told).toEqual(["whole  as of 0", "whole kept as of 110"]);
  });

  it("is taken as it is, and followed, when it insists on an earlier era", async () => {
    const insisted = {
      whole: Ok({ rows: [], revision: toRevision(5), source }),
    } as const;
    const { clock, follower, calls } = setUp([
      { whole: Ok({ rows: [], revision: BACK, source }) },
      { changes: Err({ kind: "history_gone" }), after: 10 },
      ...Array.from({ length: 41 }, () => insisted),
      { changes: Ok({ changes: [], revision: toRevision(5), source }) },
    ]);
    follower.start();
    await advanceSettled(clock, 6_000 as Ms);
    follower.stop();
    expect(calls.slice(-3)).toEqual(["whole", "changes since 5", "changes since 5"]);
  });

  it("is of use in whatever state to a follower that has read nothing, and from its era on to others", async () => {
    const revisions = createRevisionWatermark();
    revisions.raise({ table: "other", by: "store", revision: BACK });
    const { clock, follower, useful } = setUp(
      [
        { whole: Ok({ rows: [], revision: toRevision(9), source }) },
        { whole: Ok({ rows: [], revision: BACK, source }) },
      ],
      0,
      revisions,
    );
    follower.start();
    await advanceSettled(clock, 150 as Ms);
    follower.stop();
    expect(useful).toEqual([INITIAL_REVISION, INITIAL_REVISION]);
  });
});
