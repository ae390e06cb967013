import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms } from "@stairgauge/common";
import {
  createRestoreGuard,
  makeRevision,
  type FollowerSink,
  type RestoreReport,
  type RestoreRules,
  type RowChange,
  type StoredRow,
  type StoreRevision,
} from "./index.js";

const WAIT = 2_000 as Ms;

/** For rows whose values are numbers that never fall; the prefix of the key selects the decision. */
const RULES: RestoreRules = {
  isUndone: (known, restored) => Number(restored.value) < Number(known.value),
  resolveMissing: ({ key }) => {
    if (key.startsWith("drop")) return { kind: "drop" };
    if (key.startsWith("keep")) return { kind: "keep" };
    return { kind: "keep_for", duration: WAIT };
  },
  resolveDropped: ({ key }) =>
    key.startsWith("take") ? { kind: "take" } : { kind: "take_after", duration: WAIT },
};

const OLD = makeRevision(1, 50);
const RESTORED = makeRevision(2, 30);

const makeRow = (key: string, value: number, revision: StoreRevision): StoredRow => ({
  key,
  value: Buffer.from(String(value)),
  revision,
});
const makePut = (row: StoredRow): RowChange => ({ kind: "put", row });
const makeGone = (key: string): RowChange => ({ kind: "gone", key });

const setUp = () => {
  const clock = createVirtualClock();
  const rows = new Map<string, string>();
  const reports: RestoreReport[] = [];
  let isThrowing = false;
  const inner: FollowerSink = {
    onWhole: (all) => {
      if (isThrowing) throw new Error("odd");
      rows.clear();
      for (const { key, value } of all) rows.set(key, value.toString());
    },
    onChanges: (changes) => {
      for (const change of changes)
        if (change.kind === "put") rows.set(change.row.key, change.row.value.toString());
        else rows.delete(change.key);
    },
    onFailure: () => undefined,
    onRegained: () => undefined,
  };
  const guard = createRestoreGuard({
    clock,
    rules: RULES,
    onRestored: (report) => reports.push(report),
  });
  const sink = guard.observe(inner);
  const readWhole = (revision: StoreRevision, ...all: readonly StoredRow[]) =>
    sink.onWhole(all, clock.monotonic(), revision);
  const change = (revision: StoreRevision, ...changes: readonly RowChange[]) =>
    sink.onChanges(changes, clock.monotonic(), revision);
  const listRows = () => [...rows].map(([key, value]) => `${key} ${value}`).toSorted();
  const pass = (duration: number) => clock.advance(duration as Ms);
  const { applyUnsettled, listUnsettled } = guard;
  return {
    readWhole,
    change,
    listRows,
    pass,
    reports,
    applyUnsettled,
    listUnsettled,
    setThrowing: (throwing: boolean) => {
      isThrowing = throwing;
    },
  };
};

describe("a table whose store is restored from a backup", () => {
  it("follows the store within an era, also when a whole read lowers or lacks a row", () => {
    const { readWhole, listRows, reports } = setUp();
    readWhole(makeRevision(1, 3), makeRow("a", 2, makeRevision(1, 2)));
    readWhole(makeRevision(1, 9), makeRow("a", 1, makeRevision(1, 8)));
    readWhole(makeRevision(1, 12));
    expect(listRows()).toEqual([]);
    expect(reports).toEqual([]);
  });

  it("keeps the later state of a row until the row is written again", () => {
    const { readWhole, change, listRows, pass, reports } = setUp();
    readWhole(OLD, makeRow("a", 5, OLD), makeRow("b", 5, OLD));
    readWhole(
      RESTORED,
      makeRow("a", 4, makeRevision(2, 10)),
      makeRow("b", 6, makeRevision(2, 30)),
    );
    expect(listRows()).toEqual(["a 5", "b 6"]);
    expect(reports).toMatchObject([
      { undone: ["a"], missing: [], withheld: [], rows: 2 },
    ]);
    pass(60_000);
    readWhole(makeRevision(2, 31), makeRow("a", 4, makeRevision(2, 10)));
    expect(listRows()).toEqual(["a 5"]);
    const written = makeRow("a", 1, makeRevision(2, 32));
    change(written.revision, makePut(written));
    expect(listRows()).toEqual(["a 1"]);
  });

  it("keeps a missing row for the time set by its rule, or until it is written or dropped", () => {
    const { readWhole, change, listRows, pass, reports } = setUp();
    const keys = ["drop", "keep", "a", "b", "c"];
    readWhole(OLD, ...keys.map((key) => makeRow(key, 1, OLD)));
    readWhole(RESTORED);
    expect(listRows()).toEqual(["a 1", "b 1", "c 1", "keep 1"]);
    expect(reports[0]!.missing.map(({ key }) => key)).toEqual(["keep", "a", "b", "c"]);
    const written = makeRow("a", 2, makeRevision(2, 31));
    change(written.revision, makePut(written), makeGone("b"));
    pass(WAIT - 1);
    readWhole(makeRevision(2, 33), written);
    expect(listRows()).toEqual(["a 2", "c 1", "keep 1"]);
    expect(reports[0]!.isUnsettled("c")).toBe(true);
    pass(1);
    expect(listRows()).toEqual(["a 2", "keep 1"]);
    expect(reports[0]!.isUnsettled("c")).toBe(false);
    change(makeRevision(2, 34), makeGone("keep"));
    expect(listRows()).toEqual(["a 2"]);
  });

  it("withholds a dropped row for the time set by its rule, or until it is written", () => {
    const { readWhole, change, listRows, pass, reports } = setUp();
    const keys = ["a", "b", "c", "take"];
    readWhole(makeRevision(1, 40), ...keys.map((key) => makeRow(key, 1, OLD)));
    change(OLD, ...keys.map(makeGone));
    const restoredRows = keys.map((key) => makeRow(key, 1, makeRevision(2, 20)));
    readWhole(RESTORED, ...restoredRows);
    expect(listRows()).toEqual(["take 1"]);
    expect(reports[0]!.withheld.map(({ key }) => key)).toEqual(["a", "b", "c"]);
    const written = makeRow("a", 1, makeRevision(2, 31));
    change(written.revision, makePut(written), makeGone("b"));
    expect(listRows()).toEqual(["a 1", "take 1"]);
    readWhole(makeRevision(2, 33), written, restoredRows[2]!, restoredRows[3]!);
    expect(listRows()).toEqual(["a 1", "take 1"]);
    pass(WAIT);
    expect(listRows()).toEqual(["a 1", "c 1", "take 1"]);
  });

  it("does not bring back a withheld row that the next whole read lacks", () => {
    const { readWhole, listRows, pass } = setUp();
    readWhole(makeRevision(1, 40), makeRow("a", 1, OLD));
    readWhole(makeRevision(1, 41));
    readWhole(RESTORED, makeRow("a", 1, makeRevision(2, 20)));
    expect(listRows()).toEqual([]);
    readWhole(makeRevision(2, 31));
    pass(WAIT);
    expect(listRows()).toEqual([]);
  });

  it("keeps known rows over a second restore before their writers have written", () => {
    const { readWhole, listRows, pass } = setUp();
    readWhole(OLD, makeRow("a", 1, OLD), makeRow("b", 5, OLD));
    readWhole(RESTORED, makeRow("b", 4, makeRevision(2, 9)));
    pass(WAIT - 1);
    readWhole(makeRevision(3, 30), makeRow("b", 4, makeRevision(3, 9)));
    pass(WAIT - 1);
    expect(listRows()).toEqual(["a 1", "b 5"]);
    pass(1);
    expect(listRows()).toEqual(["b 5"]);
  });

  it("is used as it is, without a report, by a box that has just started", () => {
    const { readWhole, listRows, reports } = setUp();
    readWhole(makeRevision(7, 30), makeRow("a", 1, makeRevision(7, 9)));
    expect(listRows()).toEqual(["a 1"]);
    expect(reports).toEqual([]);
  });

  it("is completed at a box that has just started by the unsettled rows of another box", () => {
    const other = setUp();
    const keys = ["keep", "a", "gone", "same"];
    other.readWhole(makeRevision(1, 40), ...keys.map((key) => makeRow(key, 5, OLD)));
    other.change(OLD, makeGone("gone"));
    const restoredRows = [
      makeRow("a", 4, makeRevision(2, 20)),
      makeRow("gone", 5, makeRevision(2, 20)),
      makeRow("same", 5, makeRevision(2, 20)),
    ];
    other.readWhole(RESTORED, ...restoredRows);
    const unsettled = other.listUnsettled();

    const started = setUp();
    started.applyUnsettled(unsettled);
    started.readWhole(RESTORED, ...restoredRows);
    expect(started.listRows()).toEqual(["a 5", "keep 5", "same 5"]);
    started.pass(WAIT);
    expect(started.listRows()).toEqual(["a 5", "gone 5", "keep 5", "same 5"]);
  });

  it("ignores unsettled rows of another box if the row was written again or the era differs", () => {
    const { readWhole, applyUnsettled, listRows } = setUp();
    const written = makeRow("gone", 1, makeRevision(2, 31));
    readWhole(makeRevision(2, 31), written);
    const withheld = [makeRow("gone", 1, makeRevision(2, 20))];
    applyUnsettled({ era: 2, kept: [], withheld });
    expect(listRows()).toEqual(["gone 1"]);
    applyUnsettled({ era: 1, kept: [makeRow("a", 1, makeRevision(0, 9))], withheld: [] });
    expect(listRows()).toEqual(["gone 1"]);
  });

  it("has no unsettled rows once all rows have been written again", () => {
    const { readWhole, change, listUnsettled } = setUp();
    readWhole(OLD, makeRow("a", 5, OLD));
    readWhole(RESTORED);
    expect(listUnsettled().kept).toHaveLength(1);
    change(makeRevision(2, 31), makePut(makeRow("a", 5, makeRevision(2, 31))));
    expect(listUnsettled()).toEqual({ era: 2, kept: [], withheld: [] });
  });

  it("keeps the later state of a row also when the store returns to an earlier era", () => {
    const { readWhole, listRows } = setUp();
    readWhole(makeRevision(3, 50), makeRow("a", 5, makeRevision(3, 50)));
    readWhole(makeRevision(1, 9), makeRow("a", 4, makeRevision(1, 9)));
    expect(listRows()).toEqual(["a 5"]);
  });

  it("is reported once its first read has been applied, if applying it threw", () => {
    const { readWhole, setThrowing, listRows, reports } = setUp();
    readWhole(OLD, makeRow("a", 5, OLD), makeRow("keep", 5, OLD));
    const copied = makeRow("a", 4, makeRevision(2, 10));
    setThrowing(true);
    expect(() => readWhole(RESTORED, copied)).toThrow("odd");
    setThrowing(false);
    readWhole(makeRevision(2, 31), copied);
    readWhole(makeRevision(2, 31), copied);
    expect(listRows()).toEqual(["a 5", "keep 5"]);
    expect(reports).toMatchObject([{ undone: ["a"], missing: [{ key: "keep" }] }]);
  });
});
