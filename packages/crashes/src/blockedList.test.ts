import { describe, expect, it } from "vitest";
import {
  advanceSettled,
  collectRejections,
  createVirtualClock,
  Err,
  Ok,
  type Ms,
  type Result,
} from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import {
  makeRevision,
  type RestoreReport,
  type StoreWriteFailure,
} from "@stairgauge/storefeed";
import {
  BLOCKED_RESTORE_RULES,
  createBlockedList,
  createRequestGuard,
  type RequestDigest,
} from "./index.js";

const toRevision = (version: number) => makeRevision(1, version);

const DIGEST = "0123456789abcdef0123456789abcdef" as RequestDigest;
const MEMORY_MS = 3_600_000 as Ms;

const createBox = ({ isFirst = false } = {}) => {
  const clock = createVirtualClock();
  const calls: string[] = [];
  const values = new Map<string, Buffer>();
  const failures: unknown[] = [];
  let answer: Result<void, StoreWriteFailure> = Ok(undefined);
  let isThrowing = false;
  const guard = createRequestGuard({
    clock,
    limits: { blockingEnds: 3, memory: MEMORY_MS },
    onOwnUpdate: () => undefined,
    onSharedUpdate: () => undefined,
    onBlocked: (blocked) => list.put(blocked),
    onReleased: (digest) => list.drop(digest),
  });
  const list = createBlockedList({
    clock,
    writer: {
      putRow: async ({ key, value }) => {
        if (isThrowing) throw new Error("odd");
        calls.push(`put ${key}`);
        values.set(key, value);
        return answer;
      },
      dropRow: async ({ key }) => {
        calls.push(`drop ${key}`);
        return answer;
      },
    },
    table: "blocked",
    limit: 1_000 as Ms,
    getGuard: () => guard,
    getRank: () => (isFirst ? 0 : 1),
    onFailure: (failure) => failures.push(failure),
    onReview: () => undefined,
  });
  const recordCrashes = (servers: readonly string[]) =>
    servers.forEach((server) =>
      guard.recordCrash({ digest: DIGEST, server: server as ServerId }),
    );
  const getKind = () => guard.getStatus(() => DIGEST).kind;
  const makeRow = (value = values.get(DIGEST)!) => ({
    key: DIGEST,
    value,
    revision: toRevision(1),
  });
  return {
    clock,
    calls,
    values,
    failures,
    guard,
    list,
    recordCrashes,
    getKind,
    makeRow,
    setThrowing: (throwing: boolean) => {
      isThrowing = throwing;
    },
    setAnswer: (next: typeof answer) => {
      answer = next;
    },
  };
};

describe("createBlockedList", () => {
  it("repeats the write of a blocked request until its row is read back", async () => {
    const box = createBox();
    box.setAnswer(Err({ kind: "refused", status: 503 }));
    box.recordCrashes(["a", "b", "c"]);
    await advanceSettled(box.clock, 4_500 as Ms);
    expect(box.calls).toEqual([`put ${DIGEST}`, `put ${DIGEST}`, `put ${DIGEST}`]);
    expect(box.failures.length).toBe(3);
    box.list.sink.onWhole([box.makeRow()], 0 as Ms, toRevision(1));
    await advanceSettled(box.clock, 10_000 as Ms);
    expect(box.calls.length).toBe(3);
  });

  it("blocks a listed request at a box that starts later, with the ages of its crashes", async () => {
    const first = createBox();
    first.recordCrashes(["a", "b", "c"]);
    const later = createBox();
    later.clock.advance(600_000 as Ms);
    later.list.sink.onWhole([first.makeRow()], 0 as Ms, toRevision(1));
    expect(later.guard.getStatus(() => DIGEST)).toEqual({
      kind: "blocked",
      ends: 3,
      left: MEMORY_MS - 600_000,
    });
    expect(later.calls).toEqual([]);
  });

  it.each(["onWhole", "onChanges"] as const)(
    "releases a request when an operator drops its row (%s)",
    (how) => {
      const box = createBox();
      box.recordCrashes(["a", "b", "c"]);
      box.list.sink.onWhole([box.makeRow()], 0 as Ms, toRevision(1));
      if (how === "onWhole") box.list.sink.onWhole([], 0 as Ms, toRevision(2));
      else
        box.list.sink.onChanges([{ kind: "gone", key: DIGEST }], 0 as Ms, toRevision(2));
      expect(box.getKind()).toBe("unsuspected");
    },
  );

  it("keeps a request blocked while its row has not been written yet", () => {
    const box = createBox();
    box.recordCrashes(["a", "b", "c"]);
    box.list.sink.onWhole([], 0 as Ms, toRevision(1));
    expect(box.getKind()).toBe("blocked");
  });

  it("drops the row of a request that a server has completed", async () => {
    const box = createBox();
    box.recordCrashes(["a", "b", "c"]);
    box.list.sink.onWhole([box.makeRow()], 0 as Ms, toRevision(1));
    box.guard.recordServed(() => DIGEST);
    await advanceSettled(box.clock, 100 as Ms);
    expect(box.calls.at(-1)).toBe(`drop ${DIGEST}`);
  });

  it.each([true, false])(
    "drops expired rows only at the box of rank 0 (%s)",
    async (isFirst) => {
      const box = createBox({ isFirst });
      box.recordCrashes(["a", "b", "c"]);
      box.list.start();
      box.list.sink.onWhole([box.makeRow()], 0 as Ms, toRevision(1));
      await advanceSettled(box.clock, MEMORY_MS);
      await advanceSettled(box.clock, 120_000 as Ms);
      expect(box.calls.includes(`drop ${DIGEST}`)).toBe(isFirst);
      box.list.stop();
    },
  );

  it.each(["", "{}", '{"ends":[{"server":1,"at":0}]}'])(
    "reports a row with the unreadable value %j and blocks nothing",
    (text) => {
      const box = createBox();
      box.list.sink.onWhole([box.makeRow(Buffer.from(text))], 0 as Ms, toRevision(1));
      expect(box.failures).toEqual([{ kind: "unreadable_request", key: DIGEST }]);
      expect(box.getKind()).toBe("unsuspected");
    },
  );

  it("reports a row whose key is not a digest and blocks nothing", () => {
    const box = createBox();
    box.recordCrashes(["a", "b", "c"]);
    const row = { ...box.makeRow(box.values.get(DIGEST)), key: "x" };
    box.list.sink.onWhole([row], 0 as Ms, toRevision(1));
    expect(box.failures).toEqual([{ kind: "unreadable_request", key: "x" }]);
    expect(box.guard.getStatus(() => "x" as RequestDigest).kind).toBe("unsuspected");
  });

  describe("when the store was restored from a copy", () => {
    const makeReport = (changes: Partial<RestoreReport>): RestoreReport => ({
      revision: makeRevision(2, 1),
      rows: 0,
      undone: [],
      missing: [],
      withheld: [],
      isUnsettled: () => true,
      ...changes,
    });
    const setUpListed = (isFirst: boolean) => {
      const box = createBox({ isFirst });
      box.recordCrashes(["a", "b", "c"]);
      box.list.sink.onWhole([box.makeRow()], 0 as Ms, toRevision(1));
      box.calls.length = 0;
      return box;
    };

    it("writes a missing row again, at the first box at once and at the second only if it is still missing", async () => {
      const first = setUpListed(true);
      const second = setUpListed(false);
      let isUnsettled = true;
      for (const box of [first, second])
        box.list.recover(
          makeReport({ missing: [box.makeRow()], isUnsettled: () => isUnsettled }),
        );
      await advanceSettled(first.clock, 1 as Ms);
      await advanceSettled(second.clock, 1 as Ms);
      expect([first.calls, second.calls]).toEqual([[`put ${DIGEST}`], []]);
      isUnsettled = false;
      await advanceSettled(first.clock, 5_000 as Ms);
      await advanceSettled(second.clock, 5_000 as Ms);
      expect([first.calls, second.calls]).toEqual([[`put ${DIGEST}`], []]);
      expect(first.getKind()).toBe("blocked");
    });

    it("repeats writing missing rows and dropping withheld rows until they are settled", async () => {
      const box = setUpListed(true);
      box.setAnswer(Err({ kind: "answer_lost", detail: "x" }));
      const row = { ...box.makeRow(), key: "dropped" };
      box.list.recover(makeReport({ missing: [box.makeRow()], withheld: [row] }));
      await advanceSettled(box.clock, 2_500 as Ms);
      expect(box.calls.toSorted()).toEqual([
        "drop dropped",
        "drop dropped",
        `put ${DIGEST}`,
        `put ${DIGEST}`,
      ]);
    });

    it("keeps missing rows for a time, and takes withheld rows only after a time", () => {
      const row = { ...createBox().makeRow(Buffer.from("")), key: DIGEST };
      expect(BLOCKED_RESTORE_RULES.resolveMissing(row).kind).toBe("keep_for");
      expect(BLOCKED_RESTORE_RULES.resolveDropped(row).kind).toBe("take_after");
    });
  });

  it("repeats a write that throws", async () => {
    const box = createBox();
    box.setThrowing(true);
    const errors = await collectRejections(async () => {
      box.recordCrashes(["a", "b", "c"]);
      await advanceSettled(box.clock, 3_000 as Ms);
    });
    expect(errors).toContainEqual(new Error("odd"));
    box.setThrowing(false);
    await advanceSettled(box.clock, 2_000 as Ms);
    expect(box.calls).toEqual([`put ${DIGEST}`]);
  });
});
