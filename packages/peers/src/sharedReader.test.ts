/** One box that is stopped, with calls for several tables waiting at it. */
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
const hearers = rankStoreReaders(members, 2);
const own = members.find(({ box }) => !hearers.includes(box))!;
const [first, second] = rankForAsker(hearers, own.box);

const setUp = () => {
  const clock = createVirtualClock();
  const ends = new Map<string, () => void>();
  const asked: string[] = [];
  const stored: string[] = [];
  const renewed: BoxName[] = [];
  /** A store that says nothing until its caller gives up. */
  const callStore = ({ table, signal }: WholeRequest | ChangesRequest) => {
    stored.push(table);
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
      renew: (box) => renewed.push(box),
      listUp: () => others,
      listReachable: () => others,
      countBoxes: () => members.length,
    },
    hearers: 2,
    mostSilence: 1_000 as Ms,
    relayedWaits: 1.5,
    guard: { table: "guarded", age: 1_500 as Ms },
    patience: 400 as Ms,
    storePatience: 1_000 as Ms,
    onDistrust: () => undefined,
  });
  const { signal } = new AbortController();
  const follow = (table: string) =>
    reader.awaitChanges({ table, since: toRevision(4), wait: 400 as Ms, signal });
  const advance = (duration: number) => advanceSettled(clock, duration as Ms);
  return { follow, ends, asked, stored, renewed, advance };
};

describe("createSharedReader", () => {
  it("takes all calls from a box that closes to the next, and none to the store", async () => {
    const { follow, ends, asked, stored, renewed, advance } = setUp();
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
    expect(stored).toEqual([]);
    expect(renewed).toEqual([]);
  });

  it("asks the store when a box has been silent, and opens the link to it anew", async () => {
    const { follow, asked, stored, renewed, advance } = setUp();
    const reads = ["servers", "boxes"].map(follow);
    // 1.5 waits and the box's patience, and then that of the store; nobody has to give the call up from outside.
    await advance(600 + 400 + 1_000);
    expect((await Promise.all(reads)).map(({ ok }) => ok)).toEqual([false, false]);
    expect(asked).toHaveLength(2);
    expect(stored.toSorted()).toEqual(["boxes", "servers"]);
    expect(renewed).toEqual([first]);
  });

  it("keeps the link to a box that had less than its time, since what is known grew too old", async () => {
    const { follow, asked, stored, renewed, advance } = setUp();
    // Nothing is known of the guarded table yet, as after a loss of the store: the box has no time at all.
    const read = follow("guarded");
    await advance(1_000);
    expect((await read).ok).toBe(false);
    expect(asked).toEqual([`guarded ${first}`]);
    expect(stored).toEqual(["guarded"]);
    expect(renewed).toEqual([]);
  });
});
