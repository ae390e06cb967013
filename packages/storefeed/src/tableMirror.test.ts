import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms } from "@stairgauge/common";
import { createTableMirror, type FollowerSink, type RowChange } from "./index.js";

const takeNothing = () => undefined;
const NOBODY: FollowerSink = {
  onWhole: takeNothing,
  onChanges: takeNothing,
  onFailure: takeNothing,
  onRegained: takeNothing,
};

const makeRow = (key: string, revision: number) => ({
  key,
  value: Buffer.from(`${key} ${revision}`),
  revision,
});
const makePut = (key: string, revision: number): RowChange => ({
  kind: "put",
  row: makeRow(key, revision),
});

const setUp = () => {
  const clock = createVirtualClock();
  const mirror = createTableMirror(clock);
  return { clock, mirror, sink: mirror.observe(NOBODY) };
};
const WAIT = 1_000 as Ms;

describe("createTableMirror", () => {
  it("knows nothing before the table has been read", async () => {
    const { mirror } = setUp();
    expect(mirror.readWhole().val).toEqual({ kind: "not_known" });
    expect((await mirror.awaitChanges({ since: 0, wait: WAIT })).val).toEqual({
      kind: "not_known",
    });
  });

  it("holds the table as the changes make it, and ages with its own clock", () => {
    const { clock, mirror, sink } = setUp();
    sink.onWhole([makeRow("a", 1), makeRow("b", 2)], 0 as Ms, 2);
    sink.onChanges([{ kind: "gone", key: "a" }, makePut("c", 5)], 10 as Ms, 5);
    clock.advance(70 as Ms);
    expect(mirror.readWhole().val).toEqual({
      rows: [makeRow("b", 2), makeRow("c", 5)],
      revision: 5,
      source: { kind: "box", age: 60 },
    });
  });

  it("is not made younger by an older confirmation", () => {
    const { clock, mirror, sink } = setUp();
    clock.advance(100 as Ms);
    sink.onWhole([], 90 as Ms, 2);
    sink.onChanges([], 40 as Ms, 2);
    expect(mirror.getAge()).toBe(10);
  });

  it("answers at once with what came since, and not before there is news otherwise", async () => {
    const { clock, mirror, sink } = setUp();
    sink.onWhole([], 0 as Ms, 2);
    sink.onChanges([makePut("a", 4)], 0 as Ms, 4);
    const behind = await mirror.awaitChanges({ since: 2, wait: WAIT });
    expect(behind.val).toMatchObject({ changes: [makePut("a", 4)], revision: 4 });
    let answered: unknown;
    const waiting = mirror
      .awaitChanges({ since: 4, wait: WAIT })
      .then((answer) => (answered = answer.val));
    clock.advance(500 as Ms);
    await Promise.resolve();
    expect(answered).toBeUndefined();
    sink.onChanges([], 500 as Ms, 6);
    await waiting;
    expect(answered).toMatchObject({ changes: [], revision: 6, source: { age: 0 } });
  });

  it("never takes back a revision that the caller knows already", async () => {
    const { mirror, sink } = setUp();
    sink.onWhole([], 0 as Ms, 2);
    const ahead = await mirror.awaitChanges({ since: 9, wait: 0 as Ms });
    expect(ahead.val).toMatchObject({ changes: [], revision: 9 });
  });

  it("says that it no longer keeps what is long past, and after a whole read what was before it", async () => {
    const { mirror, sink } = setUp();
    sink.onWhole([], 0 as Ms, 1);
    for (let at = 2; at <= 300; at += 1) sink.onChanges([makePut("a", at)], 0 as Ms, at);
    const past = await mirror.awaitChanges({ since: 50, wait: WAIT });
    expect(past.val).toEqual({ kind: "history_gone" });
    const recent = await mirror.awaitChanges({ since: 299, wait: WAIT });
    expect(recent.val).toMatchObject({ changes: [makePut("a", 300)] });
    sink.onWhole([], 0 as Ms, 400);
    const before = await mirror.awaitChanges({ since: 399, wait: WAIT });
    expect(before.val).toEqual({ kind: "history_gone" });
  });
});
