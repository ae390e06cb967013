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
  it("gives no new work to a server that announces leaving, is gone, or whose address is reused", () => {
    const { directory, listReady } = setUp();
    for (const id of ["a", "b", "c", "d"]) directory.put(makeEntry(id), toMs(0));
    directory.put(makeEntry("a", true), toMs(1));
    directory.mark("b" as ServerId, "entry_gone", toMs(2));
    directory.mark("c" as ServerId, "address_reused", toMs(3));
    expect(listReady()).toEqual(["d"]);
  });

  it("keeps a leaving mark when an older entry arrives again", () => {
    const { directory, listReady } = setUp();
    directory.put(makeEntry("a", true), toMs(0));
    directory.put(makeEntry("a"), toMs(1));
    expect(listReady()).toEqual([]);
  });

  it("gives work again to a server whose entry had lapsed and is present again", () => {
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
    "gives no new work after the server's own announcement (%s), however often its older entry arrives, until the server starts again",
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
      // An entry without a start time doesn't prove a new start.
      directory.put(makeEntry("a"), toMs(5_002));
      expect(listReady()).toEqual([]);
      directory.put({ ...old, id: "a@2" as ServerId, startedAt: 2 as Ms }, toMs(5_003));
      expect(listReady()).toEqual(["a@2"]);
    },
  );

  it("applies a server's own announcement also if its entry was missing before, and emits an event", () => {
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

  it("records an announced leaving from another box before the server is listed", () => {
    const { directory, listReady } = setUp();
    directory.mark("a" as ServerId, "told_own_word", toMs(0));
    directory.mark("b" as ServerId, "told_by_box", toMs(0));
    directory.put(makeEntry("a"), toMs(1));
    directory.put(makeEntry("b"), toMs(1));
    expect(listReady()).toEqual(["b"]);
  });

  it.each(["entry_gone", "told_by_box", "address_reused"] as const)(
    "prefers a server's own announcement to the reason %s",
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

  it("gives work again to a server by its entry after it was forgotten, if its leaving was only concluded", () => {
    const { directory, listReady } = setUp();
    directory.put(makeEntry("a"), toMs(0));
    directory.mark("a" as ServerId, "address_reused", toMs(1));
    directory.put(makeEntry("a"), toMs(2));
    expect(listReady()).toEqual([]);
    directory.dropForgotten(toMs(5_000));
    directory.put(makeEntry("a"), toMs(5_001));
    expect(listReady()).toEqual(["a"]);
  });

  it("gives work again by an entry if another box had concluded that the server left", () => {
    const { directory, listReady } = setUp();
    directory.put(makeEntry("a"), toMs(0));
    directory.mark("a" as ServerId, "told_by_box", toMs(1));
    directory.put(makeEntry("a"), toMs(2));
    expect(listReady()).toEqual(["a"]);
  });

  it("drops the oldest of very many announced leavings", () => {
    const { directory, listReady } = setUp();
    for (let i = 0; i < 5_000; i += 1)
      directory.mark(`s${i}` as ServerId, "told_own_word", toMs(0));
    for (const id of ["s0", "s4999"]) directory.put(makeEntry(id), toMs(1));
    expect(listReady()).toEqual(["s0"]);
  });

  it("gives no new work to a server in a closed data hall until the hall is opened again", () => {
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

  it("allows no work for an unknown or leaving server", () => {
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

  it("treats a server started again under its name as a new one, and its previous start as gone", () => {
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

  it("ignores an entry from an earlier start", () => {
    const { directory, listReady } = setUp();
    directory.put(makeStart(2_000), toMs(0));
    directory.put(makeStart(1_000), toMs(1));
    expect(listReady()).toEqual(["a@2000"]);
    directory.put({ ...makeStart(1_000), isLeaving: true }, toMs(2));
    expect(listReady()).toEqual(["a@2000"]);
  });

  it("uses the latest entry if one of two starts has no start time", () => {
    const { directory, listReady } = setUp();
    directory.put(makeStart(undefined), toMs(0));
    directory.put(makeStart(2_000), toMs(1));
    expect(listReady()).toEqual(["a@2000"]);
  });

  it("gives no new work to a server with an unusable entry, without marking it as leaving, until a usable entry arrives", () => {
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

  it("keeps a server that left until its runs had time to move", () => {
    const { directory } = setUp();
    directory.put(makeEntry("a", true), toMs(0));
    directory.dropForgotten(toMs(1_000));
    expect(directory.find("a" as ServerId)).toBeDefined();
    directory.dropForgotten(toMs(1_001));
    expect(directory.find("a" as ServerId)).toBeUndefined();
  });
});
