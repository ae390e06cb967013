/**
 * On a day of 64 boxes an operator emptied two data halls, and boxes went on sending there: 636 requests reached servers of
 * these halls later than the bound of 5 s allows, the first 5,022 ms after the operator's word. Nobody read the row
 * that asks for it. These tests hold what a box makes of that row.
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
  const told: string[] = [];
  let closed: readonly string[] = [];
  const sink = createClosedHallsSink({
    decodeKey,
    onChange: (halls, events) => {
      closed = [...halls].sort();
      told.push(...events.map(({ kind, hall }) => `${kind} ${hall}`));
    },
  });
  return { sink, told, getClosed: () => closed };
};

describe("the data halls that operators have closed", () => {
  it("closes a hall while its row is there, whatever the row holds", () => {
    const { sink, told, getClosed } = setUp();
    sink.onWhole(
      [makeRow("config"), makeRow("closed/a", "\x00 no text")],
      NOW,
      toRevision(1),
    );
    expect(getClosed()).toEqual(["a"]);
    sink.onChanges([{ kind: "gone", key: "closed/a" }], NOW, toRevision(2));
    expect(getClosed()).toEqual([]);
    expect(told).toEqual(["closed a", "opened a"]);
  });

  it("closes several halls at once and opens each by itself", () => {
    const { sink, getClosed } = setUp();
    sink.onWhole([], NOW, toRevision(1));
    sink.onChanges([makePut("closed/a"), makePut("closed/b")], NOW, toRevision(2));
    expect(getClosed()).toEqual(["a", "b"]);
    sink.onChanges([{ kind: "gone", key: "closed/a" }], NOW, toRevision(3));
    expect(getClosed()).toEqual(["b"]);
  });

  it("takes the last of several changes of one hall, and tells nothing that comes to nothing", () => {
    const { sink, told, getClosed } = setUp();
    sink.onChanges(
      [makePut("closed/a"), { kind: "gone", key: "closed/a" }],
      NOW,
      toRevision(1),
    );
    expect(getClosed()).toEqual([]);
    expect(told).toEqual([]);
  });

  it("opens a hall whose row is missing when the table is read whole after its history was lost", () => {
    const { sink, told } = setUp();
    sink.onWhole([makeRow("closed/a")], NOW, toRevision(1));
    sink.onWhole([makeRow("config")], NOW, toRevision(9));
    expect(told).toEqual(["closed a", "opened a"]);
  });

  it("leaves all as it is at changes of other rows", () => {
    const { sink, told, getClosed } = setUp();
    sink.onWhole([makeRow("closed/a")], NOW, toRevision(1));
    sink.onChanges(
      [makePut("config"), { kind: "gone", key: "other" }],
      NOW,
      toRevision(2),
    );
    expect(getClosed()).toEqual(["a"]);
    expect(told).toEqual(["closed a"]);
  });
});
