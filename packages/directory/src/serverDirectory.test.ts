import { describe, expect, it } from "vitest";
import type { DataHallName, Ms, ServiceName } from "@stairgauge/common";
import {
  createServerDirectory,
  type DirectoryEvent,
  type ServerEntry,
  type ServerId,
  type ServerName,
} from "./index.js";

const service = "s" as ServiceName;
const makeEntry = (id: string, isLeaving = false): ServerEntry => ({
  id: id as ServerId,
  name: id as ServerName,
  startedAt: undefined,
  service,
  address: { host: "10.0.0.1", port: 80 },
  dataHall: "h" as DataHallName,
  slots: 4,
  isLeaving,
  warmUpLeft: 0 as Ms,
});

const setUp = () => {
  const events: string[] = [];
  const directory = createServerDirectory({
    memory: 1_000 as Ms,
    onEvent: (event: DirectoryEvent) =>
      events.push(
        `${event.kind} ${event.server.entry.id} ${event.server.leaving?.reason}`,
      ),
  });
  const listReady = () => directory.listReady(service).map(({ entry }) => entry.id);
  return { directory, events, listReady };
};
const toMs = (time: number) => time as Ms;

describe("createServerDirectory", () => {
  it("gives no new work to a server that says it leaves, is gone, or whose address is reused", () => {
    const { directory, listReady } = setUp();
    for (const id of ["a", "b", "c", "d"]) directory.put(makeEntry(id), toMs(0));
    directory.put(makeEntry("a", true), toMs(1));
    directory.mark("b" as ServerId, "entry_gone", toMs(2));
    directory.mark("c" as ServerId, "address_reused", toMs(3));
    expect(listReady()).toEqual(["d"]);
  });

  it("does not take a leaving mark back when an older entry comes again", () => {
    const { directory, listReady } = setUp();
    directory.put(makeEntry("a", true), toMs(0));
    directory.put(makeEntry("a"), toMs(1));
    expect(listReady()).toEqual([]);
  });

  it("takes a server back whose entry had lapsed and is there again", () => {
    const { directory, listReady, events } = setUp();
    directory.put(makeEntry("a"), toMs(0));
    directory.mark("a" as ServerId, "entry_gone", toMs(1));
    directory.put(makeEntry("a"), toMs(2));
    expect(listReady()).toEqual(["a"]);
    expect(events).toEqual([
      "joined a undefined",
      "leaving a entry_gone",
      "joined a undefined",
    ]);
  });

  it.each(["answer_says_leaving", "told_own_word", "report"] as const)(
    "gives no new work to a server by its own word, %s, however often its older entry comes, until it starts again",
    (reason) => {
      const { directory, listReady } = setUp();
      const old = { ...makeEntry("a"), id: "a@1" as ServerId, startedAt: 1 as Ms };
      directory.put(old, toMs(0));
      directory.mark(old.id, reason, toMs(1));
      directory.put(old, toMs(2));
      directory.put({ ...old, slots: 8 }, toMs(3));
      directory.mark(old.id, "entry_gone", toMs(4));
      directory.put(old, toMs(5));
      directory.dropForgotten(toMs(5_000));
      expect(directory.find(old.id)).toBeUndefined();
      directory.put(old, toMs(5_001));
      expect(listReady()).toEqual([]);
      // An entry that tells no start proves no new one.
      directory.put(makeEntry("a"), toMs(5_002));
      expect(listReady()).toEqual([]);
      directory.put({ ...old, id: "a@2" as ServerId, startedAt: 2 as Ms }, toMs(5_003));
      expect(listReady()).toEqual(["a@2"]);
    },
  );

  it("takes a server's own word also where its entry was missing before, and tells it", () => {
    const { directory, listReady, events } = setUp();
    directory.put(makeEntry("a"), toMs(0));
    directory.mark("a" as ServerId, "entry_gone", toMs(1));
    directory.mark("a" as ServerId, "answer_says_leaving", toMs(2));
    directory.mark("a" as ServerId, "told_own_word", toMs(3));
    directory.put(makeEntry("a"), toMs(4));
    expect(listReady()).toEqual([]);
    expect(events).toEqual([
      "joined a undefined",
      "leaving a entry_gone",
      "leaving a answer_says_leaving",
    ]);
  });

  it("knows that a server leaves before it knows the server, where another box tells its own word", () => {
    const { directory, listReady } = setUp();
    directory.mark("a" as ServerId, "told_own_word", toMs(0));
    directory.mark("b" as ServerId, "told_by_box", toMs(0));
    directory.put(makeEntry("a"), toMs(1));
    directory.put(makeEntry("b"), toMs(1));
    expect(listReady()).toEqual(["b"]);
  });

  it.each(["entry_gone", "told_by_box", "address_reused"] as const)(
    "puts a server's own word above %s",
    (concluded) => {
      const { directory, listReady } = setUp();
      directory.put(makeEntry("a"), toMs(0));
      directory.mark("a" as ServerId, concluded, toMs(1));
      directory.mark("a" as ServerId, "answer_says_leaving", toMs(2));
      directory.mark("a" as ServerId, concluded, toMs(3));
      directory.dropForgotten(toMs(5_000));
      directory.put(makeEntry("a"), toMs(5_001));
      expect(listReady()).toEqual([]);
    },
  );

  it("takes a server back by its entry that it had forgotten, if it only concluded that it left", () => {
    const { directory, listReady } = setUp();
    directory.put(makeEntry("a"), toMs(0));
    directory.mark("a" as ServerId, "address_reused", toMs(1));
    directory.put(makeEntry("a"), toMs(2));
    expect(listReady()).toEqual([]);
    directory.dropForgotten(toMs(5_000));
    directory.put(makeEntry("a"), toMs(5_001));
    expect(listReady()).toEqual(["a"]);
  });

  it("takes a server back of which another box concluded that it left", () => {
    const { directory, listReady } = setUp();
    directory.put(makeEntry("a"), toMs(0));
    directory.mark("a" as ServerId, "told_by_box", toMs(1));
    directory.put(makeEntry("a"), toMs(2));
    expect(listReady()).toEqual(["a"]);
  });

  it("forgets the oldest of very many servers that left", () => {
    const { directory, listReady } = setUp();
    for (let i = 0; i < 5_000; i += 1)
      directory.mark(`s${i}` as ServerId, "told_own_word", toMs(0));
    for (const id of ["s0", "s4999"]) directory.put(makeEntry(id), toMs(1));
    expect(listReady()).toEqual(["s0"]);
  });

  it("gives no new work to a server in a closed data hall until that is opened again", () => {
    const { directory, listReady } = setUp();
    directory.put(makeEntry("a"), toMs(0));
    const hall = makeEntry("a").dataHall;
    directory.setClosedHalls(new Set([hall]));
    directory.put(makeEntry("b"), toMs(1));
    expect(listReady()).toEqual([]);
    expect(directory.mayTakeWork("a" as ServerId)).toBe(false);
    expect(directory.listStaying(service)).toHaveLength(2);
    directory.setClosedHalls(new Set());
    expect(listReady()).toEqual(["a", "b"]);
    expect(directory.mayTakeWork("a" as ServerId)).toBe(true);
  });

  it("sends nothing to a server that it does not know or that leaves", () => {
    const { directory } = setUp();
    directory.put(makeEntry("a", true), toMs(0));
    expect(directory.mayTakeWork("a" as ServerId)).toBe(false);
    expect(directory.mayTakeWork("unknown" as ServerId)).toBe(false);
  });

  const makeStart = (startedAt: number | undefined): ServerEntry => ({
    ...makeEntry("a"),
    id: `a@${startedAt}` as ServerId,
    startedAt: startedAt as Ms | undefined,
  });

  it("takes a server that has started again under its name for another one, and the one before for gone", () => {
    const { directory, events, listReady } = setUp();
    directory.put(makeStart(1_000), toMs(0));
    directory.put(makeStart(2_000), toMs(1));
    expect(listReady()).toEqual(["a@2000"]);
    expect(events).toEqual([
      "joined a@1000 undefined",
      "leaving a@1000 started_again",
      "joined a@2000 undefined",
    ]);
  });

  it("takes nothing from an entry that an earlier start has written", () => {
    const { directory, listReady } = setUp();
    directory.put(makeStart(2_000), toMs(0));
    directory.put(makeStart(1_000), toMs(1));
    expect(listReady()).toEqual(["a@2000"]);
    directory.put({ ...makeStart(1_000), isLeaving: true }, toMs(2));
    expect(listReady()).toEqual(["a@2000"]);
  });

  it("takes the newest entry where one of two starts says no time", () => {
    const { directory, listReady } = setUp();
    directory.put(makeStart(undefined), toMs(0));
    directory.put(makeStart(2_000), toMs(1));
    expect(listReady()).toEqual(["a@2000"]);
  });

  it("gives no new work to a server whose entry cannot be used, without calling it gone, until one can", () => {
    const { directory, events, listReady } = setUp();
    directory.put(makeEntry("a"), toMs(0));
    directory.put(makeEntry("b"), toMs(0));
    for (let i = 0; i < 3; i += 1) directory.markUnusable("a" as ServerName);
    directory.markUnusable("unknown" as ServerName);
    expect(listReady()).toEqual(["b"]);
    expect(directory.mayTakeWork("a" as ServerId)).toBe(false);
    expect(directory.find("a" as ServerId)?.leaving).toBeUndefined();
    expect(events.slice(2)).toEqual(["unusable a undefined"]);
    directory.put(makeEntry("a"), toMs(1));
    expect(listReady()).toEqual(["a", "b"]);
  });

  it("remembers a server that left until its runs had time to move", () => {
    const { directory } = setUp();
    directory.put(makeEntry("a", true), toMs(0));
    directory.dropForgotten(toMs(1_000));
    expect(directory.find("a" as ServerId)).toBeDefined();
    directory.dropForgotten(toMs(1_001));
    expect(directory.find("a" as ServerId)).toBeUndefined();
  });
});
