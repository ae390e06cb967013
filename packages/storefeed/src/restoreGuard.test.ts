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

/** Rows whose values are numbers that never go back; keys tell the rule for missing rows. */
const RULES: RestoreRules = {
  isUndone: (known, copied) => Number(copied.value) < Number(known.value),
  resolveMissing: ({ key }) => {
    if (key.startsWith("drop")) return { kind: "drop" };
    if (key.startsWith("keep")) return { kind: "keep" };
    return { kind: "keep_for", duration: WAIT };
  },
  resolveDropped: ({ key }) =>
    key.startsWith("take") ? { kind: "take" } : { kind: "take_after", duration: WAIT },
};

const OLD = makeRevision(1, 50);
const COPIED = makeRevision(2, 30);

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
  const inner: FollowerSink = {
    onWhole: (all) => {
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
  const { takeUnsettled, listUnsettled } = guard;
  return { readWhole, change, listRows, pass, reports, takeUnsettled, listUnsettled };
};

describe("a table whose store comes back from a copy", () => {
  it("is as the store says within an era, whole reads among them", () => {
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
      COPIED,
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

  it("keeps a missing row as long as its rule says, or until it is written or dropped", () => {
    const { readWhole, change, listRows, pass, reports } = setUp();
    const keys = ["drop", "keep", "a", "b", "c"];
    readWhole(OLD, ...keys.map((key) => makeRow(key, 1, OLD)));
    readWhole(COPIED);
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

  it("withholds a row that was dropped as long as its rule says, or until it is written", () => {
    const { readWhole, change, listRows, pass, reports } = setUp();
    const keys = ["a", "b", "c", "take"];
    readWhole(makeRevision(1, 40), ...keys.map((key) => makeRow(key, 1, OLD)));
    change(OLD, ...keys.map(makeGone));
    const copied = keys.map((key) => makeRow(key, 1, makeRevision(2, 20)));
    readWhole(COPIED, ...copied);
    expect(listRows()).toEqual(["take 1"]);
    expect(reports[0]!.withheld.map(({ key }) => key)).toEqual(["a", "b", "c"]);
    const written = makeRow("a", 1, makeRevision(2, 31));
    change(written.revision, makePut(written), makeGone("b"));
    expect(listRows()).toEqual(["a 1", "take 1"]);
    readWhole(makeRevision(2, 33), written, copied[2]!, copied[3]!);
    expect(listRows()).toEqual(["a 1", "take 1"]);
    pass(WAIT);
    expect(listRows()).toEqual(["a 1", "c 1", "take 1"]);
  });

  it("takes a row whose dropping a whole read has shown before, and that is no longer withheld, off again", () => {
    const { readWhole, listRows, pass } = setUp();
    readWhole(makeRevision(1, 40), makeRow("a", 1, OLD));
    readWhole(makeRevision(1, 41));
    readWhole(COPIED, makeRow("a", 1, makeRevision(2, 20)));
    expect(listRows()).toEqual([]);
    readWhole(makeRevision(2, 31));
    pass(WAIT);
    expect(listRows()).toEqual([]);
  });

  it("may do so again before its writers have written", () => {
    const { readWhole, listRows, pass } = setUp();
    readWhole(OLD, makeRow("a", 1, OLD), makeRow("b", 5, OLD));
    readWhole(COPIED, makeRow("b", 4, makeRevision(2, 9)));
    pass(WAIT - 1);
    readWhole(makeRevision(3, 30), makeRow("b", 4, makeRevision(3, 9)));
    pass(WAIT - 1);
    expect(listRows()).toEqual(["a 1", "b 5"]);
    pass(1);
    expect(listRows()).toEqual(["b 5"]);
  });

  it("is not known to be from a copy to a box that has just started", () => {
    const { readWhole, listRows, reports } = setUp();
    readWhole(makeRevision(7, 30), makeRow("a", 1, makeRevision(7, 9)));
    expect(listRows()).toEqual(["a 1"]);
    expect(reports).toEqual([]);
  });

  it("is completed at a box that has just started by what another one knows", () => {
    const other = setUp();
    const keys = ["keep", "a", "gone", "same"];
    other.readWhole(makeRevision(1, 40), ...keys.map((key) => makeRow(key, 5, OLD)));
    other.change(OLD, makeGone("gone"));
    const copied = [
      makeRow("a", 4, makeRevision(2, 20)),
      makeRow("gone", 5, makeRevision(2, 20)),
      makeRow("same", 5, makeRevision(2, 20)),
    ];
    other.readWhole(COPIED, ...copied);
    const told = other.listUnsettled();

    const started = setUp();
    started.takeUnsettled(told);
    started.readWhole(COPIED, ...copied);
    expect(started.listRows()).toEqual(["a 5", "keep 5", "same 5"]);
    started.pass(WAIT);
    expect(started.listRows()).toEqual(["a 5", "gone 5", "keep 5", "same 5"]);
  });

  it("is not taken back by what another box knows, once a row is written again, or in another era", () => {
    const { readWhole, takeUnsettled, listRows } = setUp();
    const written = makeRow("gone", 1, makeRevision(2, 31));
    readWhole(makeRevision(2, 31), written);
    const withheld = [makeRow("gone", 1, makeRevision(2, 20))];
    takeUnsettled({ era: 2, kept: [], withheld });
    expect(listRows()).toEqual(["gone 1"]);
    takeUnsettled({ era: 1, kept: [makeRow("a", 1, makeRevision(0, 9))], withheld: [] });
    expect(listRows()).toEqual(["gone 1"]);
  });

  it("leaves nothing unsettled once all has been written again", () => {
    const { readWhole, change, listUnsettled } = setUp();
    readWhole(OLD, makeRow("a", 5, OLD));
    readWhole(COPIED);
    expect(listUnsettled().kept).toHaveLength(1);
    change(makeRevision(2, 31), makePut(makeRow("a", 5, makeRevision(2, 31))));
    expect(listUnsettled()).toEqual({ era: 2, kept: [], withheld: [] });
  });

  it("takes nothing back either where the store insists on an earlier era", () => {
    const { readWhole, listRows } = setUp();
    readWhole(makeRevision(3, 50), makeRow("a", 5, makeRevision(3, 50)));
    readWhole(makeRevision(1, 9), makeRow("a", 4, makeRevision(1, 9)));
    expect(listRows()).toEqual(["a 5"]);
  });
});
