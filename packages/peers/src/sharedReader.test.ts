/** Failure of a box at which calls for several tables are waiting. */
import { describe, expect, it } from "vitest";
import {
  advanceSettled,
  createVirtualClock,
  Err,
  Ok,
  type BoxName,
  type Ms,
  type Result,
} from "@stairgauge/common";
import {
  makeRevision,
  type ChangesRequest,
  type StoreFailure,
  type StoreReader,
  type WholeRequest,
} from "@stairgauge/storefeed";
import { rankForAsker, rankStoreReaders } from "./rankStoreReaders.js";
import { createSharedReader } from "./sharedReader.js";
import { toEqualMember } from "./sharedKnowledge.testkit.js";
import type { TableAnswer } from "./types.js";

const toRevision = (version: number) => makeRevision(1, version);

const members = Array.from({ length: 20 }, (_, i) =>
  toEqualMember(`box-${i}` as BoxName),
);
const storeReaders = rankStoreReaders(members, 2);
const own = members.find(({ box }) => !storeReaders.includes(box))!;
const [first, second] = rankForAsker(storeReaders, own.box);

const setUp = ({ isLinkBroken = false } = {}) => {
  const clock = createVirtualClock();
  const ends = new Map<string, () => void>();
  const asked: string[] = [];
  const storeCalls: string[] = [];
  const renewed: BoxName[] = [];
  /** A store that does not answer before the caller aborts. */
  const callStore = ({ table, signal }: WholeRequest | ChangesRequest) => {
    storeCalls.push(table);
    return new Promise<Result<never, StoreFailure>>((resolve) => {
      signal.addEventListener("abort", () => resolve(Err({ kind: "timed_out" })));
    });
  };
  const store: StoreReader = { readTable: callStore, awaitChanges: callStore };
  const others = members.filter(({ box }) => box !== own.box);
  const reader = createSharedReader({
    clock,
    own,
    store,
    links: {
      ask: (box, question, signal) => {
        asked.push(`${question.table} ${box}`);
        if (isLinkBroken) throw new Error("fault of the test");
        if (box !== first) {
          const answer: TableAnswer = {
            kind: "changes",
            changes: [],
            revision: toRevision(5),
            age: 1 as Ms,
            silence: 1 as Ms,
          };
          return Promise.resolve(Ok(answer));
        }
        return new Promise((resolve) => {
          const end = () => resolve(Err({ kind: "failed", detail: "ended" }));
          ends.set(question.table, end);
          signal.addEventListener("abort", end);
        });
      },
      reopen: (box) => renewed.push(box),
      listConnected: () => others,
      listReachable: () => others,
      countBoxes: () => members.length,
    },
    minStoreReaders: 2,
    maxSilence: 1_000 as Ms,
    relayedWaits: 1.5,
    guard: { table: "guarded", age: 1_500 as Ms },
    patience: 400 as Ms,
    storePatience: 1_000 as Ms,
    onEjected: () => undefined,
  });
  const { signal } = new AbortController();
  const follow = (table: string) =>
    reader.awaitChanges({ table, since: toRevision(4), wait: 400 as Ms, signal });
  const advance = (duration: number) => advanceSettled(clock, duration as Ms);
  return { follow, ends, asked, storeCalls, renewed, advance };
};

describe("createSharedReader", () => {
  it("repeats all calls at the next box, and none at the store, when a box closes its connections", async () => {
    const { follow, ends, asked, storeCalls, renewed, advance } = setUp();
    const reads = ["servers", "boxes"].map(follow);
    await advance(1);
    ends.get("servers")!();
    expect((await Promise.all(reads)).map(({ ok }) => ok)).toEqual([true, true]);
    expect(asked).toEqual([
      `servers ${first}`,
      `boxes ${first}`,
      `servers ${second}`,
      `boxes ${second}`,
    ]);
    expect(storeCalls).toEqual([]);
    expect(renewed).toEqual([]);
  });

  it("asks the store after a box was silent, and opens a new link to that box", async () => {
    const { follow, asked, storeCalls, renewed, advance } = setUp();
    const reads = ["servers", "boxes"].map(follow);
    // 1.5 times the wait plus the box's patience, then the store's; the calls end by themselves, without an abort from outside.
    await advance(600 + 400 + 1_000);
    expect((await Promise.all(reads)).map(({ ok }) => ok)).toEqual([false, false]);
    expect(asked).toHaveLength(2);
    expect(storeCalls.toSorted()).toEqual(["boxes", "servers"]);
    expect(renewed).toEqual([first]);
  });

  it("keeps the link to a box that had less than its full time because the guarded table grew too old", async () => {
    const { follow, asked, storeCalls, renewed, advance } = setUp();
    // The guarded table has not been read yet, as after a loss of the store, so the box gets no time to answer.
    const read = follow("guarded");
    await advance(1_000);
    expect((await read).ok).toBe(false);
    expect(asked).toEqual([`guarded ${first}`]);
    expect(storeCalls).toEqual(["guarded"]);
    expect(renewed).toEqual([]);
  });

  it("takes no box for silent because a question to it threw", async () => {
    const { follow, renewed, advance } = setUp({ isLinkBroken: true });
    const read = follow("servers");
    await expect(read).rejects.toThrow("fault of the test");
    await advance(2_000);
    expect(renewed).toEqual([]);
  });
});
