import { describe, expect, it } from "vitest";
import {
  advanceSettled,
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

const createBox = ({ isKeeper = false } = {}) => {
  const clock = createVirtualClock();
  const calls: string[] = [];
  const values = new Map<string, Buffer>();
  const failures: unknown[] = [];
  let answer: Result<void, StoreWriteFailure> = Ok(undefined);
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
    getRank: () => (isKeeper ? 0 : 1),
    onFailure: (failure) => failures.push(failure),
    onReview: () => undefined,
  });
  const recordEnds = (servers: readonly string[]) =>
    servers.forEach((server) =>
      guard.recordCrash({ digest: DIGEST, server: server as ServerId }),
    );
  const judge = () => guard.getStatus(() => DIGEST).kind;
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
    recordEnds,
    judge,
    makeRow,
    setAnswer: (next: typeof answer) => {
      answer = next;
    },
  };
};

describe("createBlockedList", () => {
  it("puts a blocked request until its row is seen", async () => {
    const box = createBox();
    box.setAnswer(Err({ kind: "refused", status: 503 }));
    box.recordEnds(["a", "b", "c"]);
    await advanceSettled(box.clock, 4_500 as Ms);
    expect(box.calls).toEqual([`put ${DIGEST}`, `put ${DIGEST}`, `put ${DIGEST}`]);
    expect(box.failures.length).toBe(3);
    box.list.sink.onWhole([box.makeRow()], 0 as Ms, toRevision(1));
    await advanceSettled(box.clock, 10_000 as Ms);
    expect(box.calls.length).toBe(3);
  });

  it("has a box that starts later block the request by its row, as old as its ends are", async () => {
    const first = createBox();
    first.recordEnds(["a", "b", "c"]);
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
    "releases a request whose row an operator has dropped (%s)",
    (how) => {
      const box = createBox();
      box.recordEnds(["a", "b", "c"]);
      box.list.sink.onWhole([box.makeRow()], 0 as Ms, toRevision(1));
      if (how === "onWhole") box.list.sink.onWhole([], 0 as Ms, toRevision(2));
      else
        box.list.sink.onChanges([{ kind: "gone", key: DIGEST }], 0 as Ms, toRevision(2));
      expect(box.judge()).toBe("unsuspected");
    },
  );

  it("does not take a row that has not been written yet for one that was dropped", () => {
    const box = createBox();
    box.recordEnds(["a", "b", "c"]);
    box.list.sink.onWhole([], 0 as Ms, toRevision(1));
    expect(box.judge()).toBe("blocked");
  });

  it("takes a request off that a server has served", async () => {
    const box = createBox();
    box.recordEnds(["a", "b", "c"]);
    box.list.sink.onWhole([box.makeRow()], 0 as Ms, toRevision(1));
    box.guard.recordServed(() => DIGEST);
    await advanceSettled(box.clock, 100 as Ms);
    expect(box.calls.at(-1)).toBe(`drop ${DIGEST}`);
  });

  it.each([true, false])(
    "drops rows whose time has passed, by one box: %s",
    async (isKeeper) => {
      const box = createBox({ isKeeper });
      box.recordEnds(["a", "b", "c"]);
      box.list.start();
      box.list.sink.onWhole([box.makeRow()], 0 as Ms, toRevision(1));
      await advanceSettled(box.clock, MEMORY_MS);
      await advanceSettled(box.clock, 120_000 as Ms);
      expect(box.calls.includes(`drop ${DIGEST}`)).toBe(isKeeper);
      box.list.stop();
    },
  );

  it.each(["", "{}", '{"ends":[{"server":1,"at":0}]}'])(
    "names a row it can't read: %j",
    (text) => {
      const box = createBox();
      box.list.sink.onWhole([box.makeRow(Buffer.from(text))], 0 as Ms, toRevision(1));
      expect(box.failures).toEqual([{ kind: "unreadable_request", key: DIGEST }]);
      expect(box.judge()).toBe("unsuspected");
    },
  );

  it("takes no request from a row whose key is no digest", () => {
    const box = createBox();
    box.recordEnds(["a", "b", "c"]);
    const row = { ...box.makeRow(box.values.get(DIGEST)), key: "x" };
    box.list.sink.onWhole([row], 0 as Ms, toRevision(1));
    expect(box.failures).toEqual([{ kind: "unreadable_request", key: "x" }]);
    expect(box.guard.getStatus(() => "x" as RequestDigest).kind).toBe("unsuspected");
  });

  describe("when the store comes back from a copy", () => {
    const makeReport = (changes: Partial<RestoreReport>): RestoreReport => ({
      revision: makeRevision(2, 1),
      rows: 0,
      undone: [],
      missing: [],
      withheld: [],
      isUnsettled: () => true,
      ...changes,
    });
    const setUpListed = (isKeeper: boolean) => {
      const box = createBox({ isKeeper });
      box.recordEnds(["a", "b", "c"]);
      box.list.sink.onWhole([box.makeRow()], 0 as Ms, toRevision(1));
      box.calls.length = 0;
      return box;
    };

    it("writes a lost row again, the first box at once and the next one if it must", async () => {
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
      expect(first.judge()).toBe("blocked");
    });

    it("writes until the row is there, and drops again what was dropped", async () => {
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

    it("keeps a request blocked whose row is lost, and released one that was", () => {
      const row = { ...createBox().makeRow(Buffer.from("")), key: DIGEST };
      expect(BLOCKED_RESTORE_RULES.resolveMissing(row).kind).toBe("keep_for");
      expect(BLOCKED_RESTORE_RULES.resolveDropped(row).kind).toBe("take_after");
    });
  });
});
