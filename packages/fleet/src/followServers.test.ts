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
  if (value.toString() === "throws") throw new Error("odd");
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

describe("createServerSink around an outage of the store", () => {
  let clock: VirtualClock;
  let directory: ServerDirectory;
  let sink: FollowerSink;
  let left: string[];
  let reported: string[];

  beforeEach(() => {
    clock = createVirtualClock();
    left = [];
    reported = [];
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
        if (event.kind === "unreadable") reported.push(`${event.kind} ${event.server}`);
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

  it("applies the other rows if one of them throws, and passes the error on", () => {
    const rows = [toRow("x", "throws"), toRow("c"), toRow("d")];
    expect(() => sink.onWhole(rows, clock.monotonic(), REVISION)).toThrow("odd");
    expect(listReady()).toEqual(["c", "d"]);
    const changes = [
      { kind: "put", row: toRow("x", "throws") },
      { kind: "gone", key: "c" },
      { kind: "put", row: toRow("e") },
    ] as const;
    expect(() => sink.onChanges(changes, clock.monotonic(), REVISION)).toThrow("odd");
    expect(listReady()).toEqual(["d", "e"]);
  });

  it("keeps servers whose entry lapsed during the outage if they write it again", () => {
    loseAndRegain();
    sink.onWhole([toRow("a")], clock.monotonic(), REVISION);
    expect(listReady()).toEqual(["a", "b"]);
    clock.advance(1_500 as Ms);
    sink.onChanges([{ kind: "put", row: toRow("b") }], clock.monotonic(), REVISION);
    clock.advance(10_000 as Ms);
    expect(listReady()).toEqual(["a", "b"]);
    expect(left).toEqual([]);
  });

  it("gives no new work to a server with an unreadable entry, and reports each change of it once", () => {
    const odd = { ...toRow("a", "odd"), revision: toRevision(7) };
    for (let i = 0; i < 2; i += 1)
      sink.onChanges([{ kind: "put", row: odd }], clock.monotonic(), toRevision(7));
    sink.onWhole([odd, toRow("b")], clock.monotonic(), toRevision(8));
    expect(listReady()).toEqual(["b"]);
    expect(left).toEqual([]);
    expect(reported).toEqual(["unreadable a"]);
    sink.onChanges(
      [{ kind: "put", row: { ...odd, revision: toRevision(9) } }],
      clock.monotonic(),
      REVISION,
    );
    expect(reported).toEqual(["unreadable a", "unreadable a"]);
    sink.onChanges([{ kind: "put", row: toRow("a") }], clock.monotonic(), REVISION);
    expect(listReady()).toEqual(["a", "b"]);
  });

  it("marks a server as gone when its unreadable entry is removed", () => {
    sink.onChanges(
      [{ kind: "put", row: toRow("a", "odd") }],
      clock.monotonic(),
      toRevision(7),
    );
    sink.onChanges([{ kind: "gone", key: "a" }], clock.monotonic(), toRevision(8));
    expect(left).toEqual(["a"]);
  });

  it("marks a server as gone that is still missing after the outage, before the bound on new work", () => {
    loseAndRegain();
    sink.onChanges([{ kind: "gone", key: "b" }], clock.monotonic(), REVISION);
    clock.advance(1_700 as Ms);
    expect(listReady()).toEqual(["a", "b"]);
    clock.advance(290 as Ms);
    expect(left).toEqual(["b"]);
  });

  it("doesn't wait longer for a missing entry after a second outage", () => {
    loseAndRegain();
    sink.onWhole([toRow("a")], clock.monotonic(), REVISION);
    sink.onFailure({ kind: "timed_out" }, 1);
    clock.advance(1_000 as Ms);
    sink.onRegained();
    sink.onWhole([toRow("a")], clock.monotonic(), REVISION);
    clock.advance(990 as Ms);
    expect(left).toEqual(["b"]);
  });

  it("marks a server as leaving at once when its entry says so", () => {
    loseAndRegain();
    sink.onChanges(
      [{ kind: "put", row: toRow("b", "leaving") }],
      clock.monotonic(),
      REVISION,
    );
    expect(left).toEqual(["b"]);
  });

  it("marks a server as gone at once if the store was not away or has long been back", () => {
    sink.onChanges([{ kind: "gone", key: "a" }], clock.monotonic(), REVISION);
    expect(left).toEqual(["a"]);
    loseAndRegain();
    clock.advance(2_000 as Ms);
    sink.onWhole([], clock.monotonic(), REVISION);
    expect(left).toEqual(["a", "b"]);
  });

  it("waits for entries missing in a restored store even if no call has failed", () => {
    sink.onWhole([toRow("a")], clock.monotonic(), makeRevision(2, 1));
    clock.advance(1_700 as Ms);
    expect(listReady()).toEqual(["a", "b"]);
    clock.advance(290 as Ms);
    expect(left).toEqual(["b"]);
  });
});
