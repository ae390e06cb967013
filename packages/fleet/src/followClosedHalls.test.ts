/**
 * Guards against this failure: on a fleet of 64 boxes an operator closed two data halls, but boxes
 * didn't read the rows that say so and kept sending there. 636 requests reached servers of these
 * halls later than the bound of 5 s allows, the first one 5,022 ms after the operator's change.
 */
import { describe, expect, it } from "vitest";
import type { DataHallName, Ms } from "@stairgauge/common";
import { makeRevision, type RowChange, type StoredRow } from "@stairgauge/storefeed";
import { createClosedHallsSink } from "./followClosedHalls.js";

const toRevision = (version: number) => makeRevision(1, version);

const PREFIX = "closed/";
const decodeKey = (key: string) =>
  key.startsWith(PREFIX) ? (key.slice(PREFIX.length) as DataHallName) : undefined;
const makeRow = (key: string, value = "{}"): StoredRow => ({
  key,
  value: Buffer.from(value),
  revision: toRevision(1),
});
const makePut = (key: string, value?: string): RowChange => ({
  kind: "put",
  row: makeRow(key, value),
});
const NOW = 0 as Ms;

const setUp = () => {
  const reported: string[] = [];
  let closed: readonly string[] = [];
  const sink = createClosedHallsSink({
    decodeKey,
    onChange: (halls, events) => {
      closed = [...halls].sort();
      reported.push(...events.map(({ kind, hall }) => `${kind} ${hall}`));
    },
  });
  return { sink, reported, getClosed: () => closed };
};

describe("createClosedHallsSink", () => {
  it("closes a hall while its row is present, whatever its value", () => {
    const { sink, reported, getClosed } = setUp();
    sink.onWhole(
      [makeRow("config"), makeRow("closed/a", "\x00 no text")],
      NOW,
      toRevision(1),
    );
    expect(getClosed()).toEqual(["a"]);
    sink.onChanges([{ kind: "gone", key: "closed/a" }], NOW, toRevision(2));
    expect(getClosed()).toEqual([]);
    expect(reported).toEqual(["closed a", "opened a"]);
  });

  it("closes several halls at once and opens each separately", () => {
    const { sink, getClosed } = setUp();
    sink.onWhole([], NOW, toRevision(1));
    sink.onChanges([makePut("closed/a"), makePut("closed/b")], NOW, toRevision(2));
    expect(getClosed()).toEqual(["a", "b"]);
    sink.onChanges([{ kind: "gone", key: "closed/a" }], NOW, toRevision(3));
    expect(getClosed()).toEqual(["b"]);
  });

  it("applies the last of several changes of one hall, and reports none if nothing changes in the end", () => {
    const { sink, reported, getClosed } = setUp();
    sink.onChanges(
      [makePut("closed/a"), { kind: "gone", key: "closed/a" }],
      NOW,
      toRevision(1),
    );
    expect(getClosed()).toEqual([]);
    expect(reported).toEqual([]);
  });

  it("opens a hall whose row is missing when the whole table is read again after the history was lost", () => {
    const { sink, reported } = setUp();
    sink.onWhole([makeRow("closed/a")], NOW, toRevision(1));
    sink.onWhole([makeRow("config")], NOW, toRevision(9));
    expect(reported).toEqual(["closed a", "opened a"]);
  });

  it("ignores changes of other rows", () => {
    const { sink, reported, getClosed } = setUp();
    sink.onWhole([makeRow("closed/a")], NOW, toRevision(1));
    sink.onChanges(
      [makePut("config"), { kind: "gone", key: "other" }],
      NOW,
      toRevision(2),
    );
    expect(getClosed()).toEqual(["a"]);
    expect(reported).toEqual(["closed a"]);
  });

  it("reports a change again if applying it threw", () => {
    const applied: string[][] = [];
    let isThrowing = true;
    const sink = createClosedHallsSink({
      decodeKey,
      onChange: (halls) => {
        if (isThrowing) throw new Error("odd");
        applied.push([...halls]);
      },
    });
    expect(() => sink.onWhole([makeRow("closed/a")], NOW, toRevision(1))).toThrow("odd");
    isThrowing = false;
    sink.onWhole([makeRow("closed/a")], NOW, toRevision(1));
    expect(applied).toEqual([["a"]]);
  });
});
