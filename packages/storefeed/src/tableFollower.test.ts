import { describe, expect, it } from "vitest";
import {
  advanceSettled,
  collectRejections,
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
  /** No answer until the call is aborted. */
  | { silence: "whole" | "changes" }
>;

const source = { kind: "store" } as const;

const toRevision = (version: number) => makeRevision(1, version);

const makeRow = (key: string, revision: number) => ({
  key,
  value: Buffer.from(`${revision}`),
  revision: toRevision(revision),
});

/** The reader answers with one step after another; a call that does not match its step fails the test. */
const setUp = (
  steps: readonly Step[],
  gather = 0,
  revisions = createRevisionWatermark(),
  failSink: (event: string) => void = () => undefined,
) => {
  const clock = createVirtualClock();
  const events: string[] = [];
  const calls: string[] = [];
  const requestedRevisions: StoreRevision[] = [];
  const script = [...steps];
  const waitForAbort = (signal: AbortSignal) =>
    new Promise<Result<never, StoreFailure>>((resolve) => {
      signal.addEventListener("abort", () => resolve(Err({ kind: "timed_out" })));
    });
  const reader: StoreReader = {
    readTable: ({ atLeast, signal }) => {
      calls.push("whole");
      requestedRevisions.push(atLeast);
      const step = script.shift();
      if (!step) return waitForAbort(signal);
      if ("silence" in step) return waitForAbort(signal);
      if (!("whole" in step)) throw new TypeError("unexpected readTable call");
      return Promise.resolve(step.whole);
    },
    awaitChanges: ({ since, wait, signal }) => {
      calls.push(`changes since ${since.version}`);
      const step = script.shift();
      if (!step || "silence" in step) return waitForAbort(signal);
      if (!("changes" in step)) throw new TypeError("unexpected awaitChanges call");
      return new Promise((resolve) => {
        clock.setTimer((step.after ?? wait) as Ms, () => resolve(step.changes));
      });
    },
  };
  const failed: unknown[] = [];
  const record = (event: string) => {
    events.push(event);
    failSink(event);
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
    onStepFailed: (step) => failed.push(step),
    sink: {
      onWhole: (rows, asOf) =>
        record(`whole ${rows.map((r) => r.key).join()} as of ${asOf}`),
      onChanges: (changes, asOf) => record(`${changes.length} changes as of ${asOf}`),
      onFailure: (failure, inARow) => record(`${failure.kind} ${inARow}`),
      onRegained: () => record("regained"),
    },
  });
  return { clock, follower, events, calls, requestedRevisions, failed };
};

describe("createTableFollower", () => {
  it("reads the whole table, then its changes, each as of the time of the request", async () => {
    const { clock, follower, events, calls } = setUp([
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
    expect(events).toEqual([
      "whole a as of 0",
      "0 changes as of 0",
      "1 changes as of 1000",
    ]);
    expect(calls.slice(0, 3)).toEqual(["whole", "changes since 7", "changes since 9"]);
  });

  it("pauses for `gather` after an answer with changes, and not after an empty one", async () => {
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

  it("reads the whole table again without a pause when the history is gone", async () => {
    const { clock, follower, events } = setUp([
      { whole: Ok({ rows: [], revision: toRevision(1), source }) },
      { changes: Err({ kind: "history_gone" }), after: 10 },
      { whole: Ok({ rows: [makeRow("b", 2)], revision: toRevision(2), source }) },
    ]);
    follower.start();
    await advanceSettled(clock, 20 as Ms);
    follower.stop();
    expect(events).toEqual(["whole  as of 0", "whole b as of 10"]);
  });

  it("rejects a whole read that is older than a revision seen before", async () => {
    const { clock, follower, events } = setUp([
      { whole: Ok({ rows: [], revision: toRevision(9), source }) },
      { changes: Err({ kind: "history_gone" }), after: 10 },
      { whole: Ok({ rows: [makeRow("old", 3)], revision: toRevision(4), source }) },
      { whole: Ok({ rows: [makeRow("new", 9)], revision: toRevision(9), source }) },
    ]);
    follower.start();
    await advanceSettled(clock, 300 as Ms);
    follower.stop();
    expect(events).toEqual(["whole  as of 0", "whole new as of 110"]);
  });

  it("reports each failure of a silent store once, and continues when it answers again", async () => {
    const { clock, follower, events } = setUp([
      { whole: Ok({ rows: [], revision: toRevision(1), source }) },
      { silence: "changes" },
      { whole: Err({ kind: "refused", status: 503 }) },
      { whole: Ok({ rows: [], revision: toRevision(1), source }) },
    ]);
    follower.start();
    await advanceSettled(clock, 2_500 as Ms);
    follower.stop();
    expect(events.slice(1, 4)).toEqual(["timed_out 1", "refused 2", "regained"]);
    expect(events[4]).toMatch(/^whole {2}as of /);
  });

  it("reads again at once when its pause is ended, so that a long pause does not delay what it learns", async () => {
    const refused: Step = { whole: Err({ kind: "refused", status: 503 }) };
    const { clock, follower, events, calls } = setUp([
      refused,
      { whole: Ok({ rows: [], revision: toRevision(1), source }) },
    ]);
    follower.start();
    await advanceSettled(clock, 20 as Ms);
    expect(calls).toEqual(["whole"]);
    follower.endPause();
    await advanceSettled(clock, 1 as Ms);
    follower.stop();
    expect(events).toEqual(["refused 1", "regained", "whole  as of 20"]);
  });

  it("makes no second call when a pause that is over is ended", async () => {
    const { clock, follower, calls } = setUp([
      { whole: Err({ kind: "refused", status: 503 }) },
      { silence: "whole" },
    ]);
    follower.start();
    await advanceSettled(clock, 200 as Ms);
    follower.endPause();
    await advanceSettled(clock, 1 as Ms);
    follower.stop();
    expect(calls).toEqual(["whole", "whole"]);
  });
});

describe("a store that is restored from a backup", () => {
  const RESTORED = makeRevision(2, 4);

  it("is read whole once, although its versions are much lower", async () => {
    const { clock, follower, events, calls } = setUp([
      { whole: Ok({ rows: [], revision: toRevision(90), source }) },
      { changes: Err({ kind: "history_gone" }), after: 10 },
      { whole: Ok({ rows: [makeRow("copied", 3)], revision: RESTORED, source }) },
      { changes: Ok({ changes: [], revision: RESTORED, source }) },
    ]);
    follower.start();
    await advanceSettled(clock, 300 as Ms);
    follower.stop();
    expect(events).toEqual(["whole  as of 0", "whole copied as of 10"]);
    expect(calls).toEqual(["whole", "changes since 90", "whole", "changes since 4"]);
  });

  it("is read whole when its versions have caught up and only the era differs", async () => {
    const { clock, follower, events } = setUp([
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
    expect(events).toEqual(["whole  as of 0", "whole b as of 10"]);
  });

  it("is read whole for every table, without a failure, once an answer for one table shows the new era", async () => {
    const revisions = createRevisionWatermark();
    const { clock, follower, events, calls } = setUp(
      [
        { whole: Ok({ rows: [], revision: toRevision(9), source }) },
        { silence: "changes" },
        { whole: Ok({ rows: [makeRow("b", 2)], revision: RESTORED, source }) },
      ],
      0,
      revisions,
    );
    follower.start();
    await advanceSettled(clock, 50 as Ms);
    revisions.raise({ table: "other", by: "store", revision: makeRevision(2, 3) });
    await advanceSettled(clock, 1 as Ms);
    follower.stop();
    expect(events).toEqual(["whole  as of 0", "whole b as of 50"]);
    expect(calls.slice(0, 3)).toEqual(["whole", "changes since 9", "whole"]);
  });

  it("is not taken to be in the earlier era again by a late answer of that era", async () => {
    const { clock, follower, events } = setUp([
      { whole: Ok({ rows: [], revision: RESTORED, source }) },
      { changes: Ok({ changes: [], revision: toRevision(99), source }), after: 10 },
      { whole: Ok({ rows: [makeRow("lost", 98)], revision: toRevision(99), source }) },
      { whole: Ok({ rows: [makeRow("kept", 3)], revision: RESTORED, source }) },
    ]);
    follower.start();
    await advanceSettled(clock, 300 as Ms);
    follower.stop();
    expect(events).toEqual(["whole  as of 0", "whole kept as of 110"]);
  });

  it("is followed in an earlier era once it has answered with it 41 times", async () => {
    const earlierRead = {
      whole: Ok({ rows: [], revision: toRevision(5), source }),
    } as const;
    const { clock, follower, calls } = setUp([
      { whole: Ok({ rows: [], revision: RESTORED, source }) },
      { changes: Err({ kind: "history_gone" }), after: 10 },
      ...Array.from({ length: 41 }, () => earlierRead),
      { changes: Ok({ changes: [], revision: toRevision(5), source }) },
    ]);
    follower.start();
    await advanceSettled(clock, 6_000 as Ms);
    follower.stop();
    expect(calls.slice(-3)).toEqual(["whole", "changes since 5", "changes since 5"]);
  });

  it("is asked for any revision by a follower that has read nothing, also when the watermark is later", async () => {
    const revisions = createRevisionWatermark();
    revisions.raise({ table: "other", by: "store", revision: RESTORED });
    const { clock, follower, requestedRevisions } = setUp(
      [
        { whole: Ok({ rows: [], revision: toRevision(9), source }) },
        { whole: Ok({ rows: [], revision: RESTORED, source }) },
      ],
      0,
      revisions,
    );
    follower.start();
    await advanceSettled(clock, 150 as Ms);
    follower.stop();
    expect(requestedRevisions).toEqual([INITIAL_REVISION, INITIAL_REVISION]);
  });
});

/** Guards against a table that is never followed again because applying one of its answers threw. */
describe("a follower whose sink throws", () => {
  const error = new Error("odd");
  const whole = Ok({ rows: [makeRow("a", 5)], revision: toRevision(7), source });
  const later = Ok({ rows: [], revision: toRevision(8), source });
  const toChange = (version: number) =>
    Ok({
      changes: [{ kind: "gone", key: "a" }] as const,
      revision: toRevision(version),
      source,
    });
  const failOn = (times: number, pattern: RegExp) => {
    let left = times;
    return (event: string) => {
      if (!pattern.test(event) || left === 0) return;
      left -= 1;
      throw error;
    };
  };

  it.each<[string, readonly Step[], RegExp, readonly string[]]>([
    [
      "at a whole read reads the table again",
      [{ whole }, { whole }],
      /whole/,
      ["whole", "whole", "changes since 7"],
    ],
    [
      "at changes reads the whole table again",
      [{ whole }, { changes: toChange(8), after: 1 }, { whole: later }],
      /changes/,
      ["whole", "changes since 7", "whole", "changes since 8"],
    ],
    [
      "at a failure reads the table again",
      [{ whole: Err({ kind: "timed_out" }) }, { whole }],
      /timed_out/,
      ["whole", "whole", "changes since 7"],
    ],
  ])("%s", async (_, steps, pattern, expected) => {
    const { clock, follower, calls, failed } = setUp(
      steps,
      0,
      createRevisionWatermark(),
      failOn(1, pattern),
    );
    const errors = await collectRejections(async () => {
      follower.start();
      await advanceSettled(clock, 1_000 as Ms);
      follower.stop();
    });
    expect(calls.slice(0, expected.length)).toEqual(expected);
    expect(errors).toEqual([]);
    expect(failed).toEqual([{ table: "t", error, inARow: 1 }]);
  });

  it("pauses longer and longer while it keeps throwing", async () => {
    const wholes = Array.from({ length: 50 }, () => ({ whole }));
    const { clock, follower, calls, failed } = setUp(
      wholes,
      0,
      createRevisionWatermark(),
      failOn(50, /whole/),
    );
    const errors = await collectRejections(async () => {
      follower.start();
      await advanceSettled(clock, 4_000 as Ms);
      follower.stop();
    });
    expect(errors).toEqual([]);
    expect(calls.length).toBeGreaterThan(5);
    expect(calls.length).toBeLessThan(30);
    expect(failed).toHaveLength(calls.length);
  });

  it("pauses between two answers that can't be continued, so that a store of such answers isn't called without end", async () => {
    const gone = { changes: Err({ kind: "history_gone" } as const), after: 1 };
    const steps = Array.from({ length: 400 }, (_v, i) =>
      i % 2 === 0 ? { whole } : gone,
    );
    const { clock, follower, calls } = setUp(steps);
    follower.start();
    await advanceSettled(clock, 1_000 as Ms);
    follower.stop();
    expect(calls.slice(0, 3)).toEqual(["whole", "changes since 7", "whole"]);
    expect(calls.length).toBeGreaterThan(5);
    expect(calls.length).toBeLessThan(40);
  });
});
