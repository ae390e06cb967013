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
