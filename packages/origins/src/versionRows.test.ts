/** Guards against a box that has just started and takes the listed version for the only one that has served. */
import { describe, expect, it } from "vitest";
import {
  advanceSettled,
  collectRejections,
  createVirtualClock,
  Err,
  Ok,
  type Ms,
  type ServiceName,
  type VirtualClock,
} from "@stairgauge/common";
import type { ServerEntry } from "@stairgauge/directory";
import { makeRevision, type StoredRow } from "@stairgauge/storefeed";
import { createVersionHistory } from "./versionHistory.js";
import { createVersionRows } from "./versionRows.js";

const SERVICE = "writers" as ServiceName;
const MEMORY_MS = 60_000 as Ms;

const makeEntries = (...versions: (string | undefined)[]) =>
  versions.map(
    (version) => ({ service: SERVICE, softwareVersion: version }) as ServerEntry,
  );

/** A store that all boxes share, and that may be away. */
const createStore = (failingReads = 0) => {
  const values = new Map<string, Buffer>();
  const counts = { reads: 0, writes: 0 };
  let isAway = false;
  return {
    counts,
    values,
    setAway: (away: boolean) => {
      isAway = away;
    },
    reader: {
      readTable: async () => {
        counts.reads += 1;
        if (counts.reads <= failingReads) throw new Error("odd");
        if (isAway) return Err({ kind: "timed_out" } as const);
        const revision = makeRevision(0, 1);
        const rows: StoredRow[] = [...values].map(([key, value]) => ({
          key,
          value,
          revision,
        }));
        return Ok({ rows, revision, source: { kind: "store" } } as const);
      },
    },
    writer: {
      putRow: async ({ key, value }: { key: string; value: Buffer }) => {
        counts.writes += 1;
        if (isAway) return Err({ kind: "refused", status: 503 } as const);
        values.set(key, value);
        return Ok(undefined);
      },
    },
  };
};

const startBox = (
  clock: VirtualClock,
  store: ReturnType<typeof createStore>,
  rank: number | undefined,
) => {
  const history = createVersionHistory(() => MEMORY_MS);
  const failures: unknown[] = [];
  const rows = createVersionRows({
    clock,
    ...store,
    table: "versions",
    limit: 1_000 as Ms,
    history,
    observeServers: () => undefined,
    getRank: () => rank,
    onFailure: (failure) => failures.push(failure),
  });
  const list = () => [...history.list(SERVICE, clock.monotonic())].sort();
  const observe = (...versions: (string | undefined)[]) => {
    history.observe(makeEntries(...versions), clock.monotonic());
    rows.checkSoon();
  };
  rows.start();
  return { rows, list, observe, failures };
};

const advance = (clock: VirtualClock, duration: number) =>
  advanceSettled(clock, duration as Ms);

describe("createVersionRows", () => {
  it("tells a box that starts later which versions have served", async () => {
    const clock = createVirtualClock();
    const store = createStore();
    const first = startBox(clock, store, 0);
    first.observe("v1");
    await advance(clock, 100);
    first.observe("v1", "v1.2");
    await advance(clock, 100);
    const late = startBox(clock, store, 1);
    expect(late.rows.isLoaded()).toBe(false);
    late.observe("v1.2");
    await advance(clock, 1);
    expect(late.rows.isLoaded()).toBe(true);
    expect(late.list()).toEqual(["v1", "v1.2"]);
  });

  it("lets a request wait that comes before the rows have been read", async () => {
    const clock = createVirtualClock();
    const box = startBox(clock, createStore(), 0);
    expect(box.rows.isLoaded()).toBe(false);
    await box.rows.awaitFirstRead();
    expect(box.rows.isLoaded()).toBe(true);
  });

  it("forgets a version some time after its last server", async () => {
    const clock = createVirtualClock();
    const store = createStore();
    const first = startBox(clock, store, 0);
    first.observe("v1", "v1.2");
    for (let passed = 0; passed <= MEMORY_MS; passed += 5_000) {
      await advance(clock, 5_000);
      first.observe("v1.2");
    }
    await advance(clock, 2_100);
    const late = startBox(clock, store, 1);
    late.observe("v1.2");
    await advance(clock, 1);
    expect(late.list()).toEqual(["v1.2"]);
  });

  it("costs one write and one read of each box while nothing changes", async () => {
    const clock = createVirtualClock();
    const store = createStore();
    const boxes = [0, 1, 2, 3, undefined].map((rank) => startBox(clock, store, rank));
    for (const box of boxes) box.observe("v1");
    for (let passed = 0; passed < 30_000; passed += 1_000) {
      await advance(clock, 1_000);
      for (const box of boxes) box.observe("v1");
    }
    expect(store.counts.writes).toBe(1);
    // The boxes that would step in for the first one look once whether it has written.
    expect(store.counts.reads).toBe(boxes.length + 2);
  });

  it("is written by the next box when the first one does not", async () => {
    const clock = createVirtualClock();
    const store = createStore();
    const second = startBox(clock, store, 1);
    second.observe("v1");
    await advance(clock, 4_100);
    await advance(clock, 2_100);
    expect(store.values.has(SERVICE)).toBe(true);
  });

  it("is sure of nothing until the store has answered", async () => {
    const clock = createVirtualClock();
    const store = createStore();
    store.setAway(true);
    const box = startBox(clock, store, 0);
    box.observe("v1");
    await advance(clock, 1_000);
    expect(box.rows.isLoaded()).toBe(false);
    expect(box.failures.length).toBeGreaterThan(0);
    store.setAway(false);
    await advance(clock, 2_100);
    expect(box.rows.isLoaded()).toBe(true);
  });

  it("learns of versions that it missed while it had lost the store", async () => {
    const clock = createVirtualClock();
    const store = createStore();
    const box = startBox(clock, store, 3);
    box.observe("v1");
    await advance(clock, 1);
    const other = startBox(clock, store, 0);
    other.observe("v1", "v1.2");
    await advance(clock, 100);
    box.rows.reload();
    await advance(clock, 1);
    expect(box.list()).toEqual(["v1", "v1.2"]);
  });

  it("reports a row that something else has written, and goes on", async () => {
    const clock = createVirtualClock();
    const store = createStore();
    store.values.set(SERVICE, Buffer.from("no row"));
    const box = startBox(clock, store, 0);
    box.observe("v1");
    await advance(clock, 100);
    expect(box.failures).toContainEqual({
      kind: "unreadable_versions",
      service: SERVICE,
    });
    await advance(clock, 2_100);
    expect(store.values.get(SERVICE)?.toString()).toContain("v1");
  });

  it("checks on after a check that throws, and passes its error on", async () => {
    const clock = createVirtualClock();
    const store = createStore(2);
    let box: ReturnType<typeof startBox>;
    const errors = await collectRejections(async () => {
      box = startBox(clock, store, 0);
      await advance(clock, 10_000);
    });
    expect(box!.rows.isLoaded()).toBe(true);
    expect(errors).toContainEqual(new Error("odd"));
    box!.observe("v1");
    await advance(clock, 100);
    expect(store.counts.writes).toBe(1);
  });
});
