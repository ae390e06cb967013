import { beforeEach, describe, expect, it } from "vitest";
import {
  createVirtualClock,
  Err,
  Ok,
  type Ms,
  type Result,
  type VirtualClock,
} from "@stairgauge/common";
import {
  createServerDirectory,
  type ServerDirectory,
  type ServerEntry,
} from "@stairgauge/directory";
import { makeRevision, type FollowerSink, type StoredRow } from "@stairgauge/storefeed";
import { makeEntry, SERVICE } from "./entries.testkit.js";
import { createServerSink } from "./followServers.js";

const decode = (name: string, value: Buffer): Result<ServerEntry, unknown> => {
  if (value.toString() === "odd") return Err({ kind: "not_json" });
  return Ok(makeEntry(name, { isLeaving: value.toString() === "leaving" }));
};
const toRow = (key: string, text = "ready"): StoredRow => ({
  key,
  value: Buffer.from(text),
  revision: toRevision(1),
});

const toRevision = (version: number) => makeRevision(1, version);
const REVISION = toRevision(1);

describe("the list of servers around an outage of the store", () => {
  let clock: VirtualClock;
  let directory: ServerDirectory;
  let sink: FollowerSink;
  let left: string[];
  let told: string[];

  beforeEach(() => {
    clock = createVirtualClock();
    left = [];
    told = [];
    directory = createServerDirectory({
      memory: 30_000 as Ms,
      onEvent: (event) => {
        if (event.kind === "leaving") left.push(event.server.entry.id);
      },
    });
    sink = createServerSink({
      clock,
      directory,
      decode,
      leavingWithin: 2_000 as Ms,
      onListRead: () => undefined,
      onEvent: (event) => {
        if (event.kind === "unreadable") told.push(`${event.kind} ${event.server}`);
      },
    });
    sink.onWhole([toRow("a"), toRow("b")], clock.monotonic(), REVISION);
  });

  const loseAndRegain = () => {
    sink.onFailure({ kind: "timed_out" }, 1);
    clock.advance(5_000 as Ms);
    sink.onRegained();
  };
  const listReady = () => directory.listReady(SERVICE).map(({ entry }) => entry.id);

  it("keeps an entry that lapsed meanwhile for servers that put it back", () => {
    loseAndRegain();
    sink.onWhole([toRow("a")], clock.monotonic(), REVISION);
    expect(listReady()).toEqual(["a", "b"]);
    clock.advance(1_500 as Ms);
    sink.onChanges([{ kind: "put", row: toRow("b") }], clock.monotonic(), REVISION);
    clock.advance(10_000 as Ms);
    expect(listReady()).toEqual(["a", "b"]);
    expect(left).toEqual([]);
  });

  it("sends nothing new where an entry has turned unreadable, and tells each change of it once", () => {
    const odd = { ...toRow("a", "odd"), revision: toRevision(7) };
    for (let i = 0; i < 2; i += 1)
      sink.onChanges([{ kind: "put", row: odd }], clock.monotonic(), toRevision(7));
    sink.onWhole([odd, toRow("b")], clock.monotonic(), toRevision(8));
    expect(listReady()).toEqual(["b"]);
    expect(left).toEqual([]);
    expect(told).toEqual(["unreadable a"]);
    sink.onChanges(
      [{ kind: "put", row: { ...odd, revision: toRevision(9) } }],
      clock.monotonic(),
      REVISION,
    );
    expect(told).toEqual(["unreadable a", "unreadable a"]);
    sink.onChanges([{ kind: "put", row: toRow("a") }], clock.monotonic(), REVISION);
    expect(listReady()).toEqual(["a", "b"]);
  });

  it("takes an unreadable entry that is dropped as gone", () => {
    sink.onChanges(
      [{ kind: "put", row: toRow("a", "odd") }],
      clock.monotonic(),
      toRevision(7),
    );
    sink.onChanges([{ kind: "gone", key: "a" }], clock.monotonic(), toRevision(8));
    expect(left).toEqual(["a"]);
  });

  it("takes one that is still missing as gone, before the bound on new work", () => {
    loseAndRegain();
    sink.onChanges([{ kind: "gone", key: "b" }], clock.monotonic(), REVISION);
    clock.advance(1_700 as Ms);
    expect(listReady()).toEqual(["a", "b"]);
    clock.advance(290 as Ms);
    expect(left).toEqual(["b"]);
  });

  it("is not made to wait longer by a second outage", () => {
    loseAndRegain();
    sink.onWhole([toRow("a")], clock.monotonic(), REVISION);
    sink.onFailure({ kind: "timed_out" }, 1);
    clock.advance(1_000 as Ms);
    sink.onRegained();
    sink.onWhole([toRow("a")], clock.monotonic(), REVISION);
    clock.advance(990 as Ms);
    expect(left).toEqual(["b"]);
  });

  it("hears at once of a server that says it leaves", () => {
    loseAndRegain();
    sink.onChanges(
      [{ kind: "put", row: toRow("b", "leaving") }],
      clock.monotonic(),
      REVISION,
    );
    expect(left).toEqual(["b"]);
  });

  it("takes a missing entry as gone at once when the store was not away, or is back for long", () => {
    sink.onChanges([{ kind: "gone", key: "a" }], clock.monotonic(), REVISION);
    expect(left).toEqual(["a"]);
    loseAndRegain();
    clock.advance(2_000 as Ms);
    sink.onWhole([], clock.monotonic(), REVISION);
    expect(left).toEqual(["a", "b"]);
  });

  it("waits for entries that the store's copy lacks, though no call has failed", () => {
    sink.onWhole([toRow("a")], clock.monotonic(), makeRevision(2, 1));
    clock.advance(1_700 as Ms);
    expect(listReady()).toEqual(["a", "b"]);
    clock.advance(290 as Ms);
    expect(left).toEqual(["b"]);
  });
});
