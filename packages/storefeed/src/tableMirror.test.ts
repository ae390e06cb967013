import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms } from "@stairgauge/common";
import {
  createTableMirror,
  makeRevision,
  type FollowerSink,
  type RowChange,
} from "./index.js";

const toRevision = (version: number) => makeRevision(1, version);

const acceptCall = () => undefined;
const EMPTY_SINK: FollowerSink = {
  onWhole: acceptCall,
  onChanges: acceptCall,
  onFailure: acceptCall,
  onRegained: acceptCall,
};

const makeRow = (key: string, revision: number) => ({
  key,
  value: Buffer.from(`${key} ${revision}`),
  revision: toRevision(revision),
});
const makePut = (key: string, revision: number): RowChange => ({
  kind: "put",
  row: makeRow(key, revision),
});

const setUp = () => {
  const clock = createVirtualClock();
  const mirror = createTableMirror(clock);
  return { clock, mirror, sink: mirror.observe(EMPTY_SINK) };
};
const WAIT = 1_000 as Ms;

describe("createTableMirror", () => {
  it("answers not_known before the table has been read", async () => {
    const { mirror } = setUp();
    expect(mirror.readWhole().val).toEqual({ kind: "not_known" });
    expect((await mirror.awaitChanges({ since: toRevision(0), wait: WAIT })).val).toEqual(
      {
        kind: "not_known",
      },
    );
  });

  it("applies changes to the rows, and computes its age from its own clock", () => {
    const { clock, mirror, sink } = setUp();
    sink.onWhole([makeRow("a", 1), makeRow("b", 2)], 0 as Ms, toRevision(2));
    sink.onChanges(
      [{ kind: "gone", key: "a" }, makePut("c", 5)],
      10 as Ms,
      toRevision(5),
    );
    clock.advance(70 as Ms);
    expect(mirror.readWhole().val).toEqual({
      rows: [makeRow("b", 2), makeRow("c", 5)],
      revision: toRevision(5),
      source: { kind: "box", age: 60 },
    });
  });

  it("keeps its age when an older confirmation arrives", () => {
    const { clock, mirror, sink } = setUp();
    clock.advance(100 as Ms);
    sink.onWhole([], 90 as Ms, toRevision(2));
    sink.onChanges([], 40 as Ms, toRevision(2));
    expect(mirror.getAge()).toBe(10);
  });

  it("answers at once with changes since the revision, and otherwise waits for the next update", async () => {
    const { clock, mirror, sink } = setUp();
    sink.onWhole([], 0 as Ms, toRevision(2));
    sink.onChanges([makePut("a", 4)], 0 as Ms, toRevision(4));
    const behind = await mirror.awaitChanges({ since: toRevision(2), wait: WAIT });
    expect(behind.val).toMatchObject({
      changes: [makePut("a", 4)],
      revision: toRevision(4),
    });
    let answered: unknown;
    const waiting = mirror
      .awaitChanges({ since: toRevision(4), wait: WAIT })
      .then((answer) => (answered = answer.val));
    clock.advance(500 as Ms);
    await Promise.resolve();
    expect(answered).toBeUndefined();
    sink.onChanges([], 500 as Ms, toRevision(6));
    await waiting;
    expect(answered).toMatchObject({
      changes: [],
      revision: toRevision(6),
      source: { age: 0 },
    });
  });

  it("answers with the caller's revision if that is later than its own", async () => {
    const { mirror, sink } = setUp();
    sink.onWhole([], 0 as Ms, toRevision(2));
    const ahead = await mirror.awaitChanges({ since: toRevision(9), wait: 0 as Ms });
    expect(ahead.val).toMatchObject({ changes: [], revision: toRevision(9) });
  });

  it("answers history_gone for changes that it has dropped or that precede the last whole read", async () => {
    const { mirror, sink } = setUp();
    sink.onWhole([], 0 as Ms, toRevision(1));
    for (let version = 2; version <= 300; version += 1)
      sink.onChanges([makePut("a", version)], 0 as Ms, toRevision(version));
    const past = await mirror.awaitChanges({ since: toRevision(50), wait: WAIT });
    expect(past.val).toEqual({ kind: "history_gone" });
    const recent = await mirror.awaitChanges({ since: toRevision(299), wait: WAIT });
    expect(recent.val).toMatchObject({ changes: [makePut("a", 300)] });
    sink.onWhole([], 0 as Ms, toRevision(400));
    const before = await mirror.awaitChanges({ since: toRevision(399), wait: WAIT });
    expect(before.val).toEqual({ kind: "history_gone" });
  });

  it("answers history_gone to a caller of the earlier era when the store was restored from a backup", async () => {
    const { mirror, sink } = setUp();
    sink.onWhole([], 0 as Ms, toRevision(50));
    const waiting = mirror.awaitChanges({ since: toRevision(50), wait: WAIT });
    sink.onWhole([makeRow("a", 3)], 10 as Ms, makeRevision(2, 60));
    expect((await waiting).val).toEqual({ kind: "history_gone" });
    const ahead = await mirror.awaitChanges({
      since: makeRevision(3, 1),
      wait: 0 as Ms,
    });
    expect(ahead.val).toMatchObject({ changes: [], revision: makeRevision(3, 1) });
  });

  it("answers a box that sends no era as if it had sent the mirror's era", async () => {
    const { mirror, sink } = setUp();
    sink.onWhole([], 0 as Ms, makeRevision(4, 2));
    sink.onChanges([makePut("a", 3)], 0 as Ms, makeRevision(4, 3));
    const recent = await mirror.awaitChanges({
      since: makeRevision(0, 3),
      wait: 0 as Ms,
    });
    expect(recent.val).toMatchObject({ changes: [], revision: makeRevision(4, 3) });
  });

  it("lets a caller wait until the mirror has reached its revision, at most for the given time", async () => {
    const { clock, mirror, sink } = setUp();
    sink.onWhole([], 0 as Ms, toRevision(50));
    const request = { atLeast: makeRevision(2, 0), wait: 200 as Ms };
    const resolved: string[] = [];
    void mirror.awaitRevision(request).then(() => resolved.push("in time"));
    sink.onWhole([], 0 as Ms, makeRevision(2, 4));
    await Promise.resolve();
    await mirror.awaitRevision(request);
    expect(resolved).toEqual(["in time"]);
    const late = mirror.awaitRevision({ ...request, atLeast: makeRevision(3, 0) });
    clock.advance(200 as Ms);
    await late;
    expect(mirror.readWhole().val).toMatchObject({ revision: makeRevision(2, 4) });
  });
});
