/** When a path counts as lost, and when it is used again. */
import { describe, expect, it } from "vitest";
import {
  createSeededRandom,
  createVirtualClock,
  type BoxName,
  type DataHallName,
  type Ms,
} from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { createServerPaths } from "./serverPaths.js";
import type { PathEvent } from "./types.js";

const CARRIER = "other" as BoxName;
const toEntry = (id: string) => ({
  id: id as ServerId,
  dataHall: "hall" as DataHallName,
});
const [A, B, C] = ["a", "b", "c"].map(toEntry) as [
  ReturnType<typeof toEntry>,
  ReturnType<typeof toEntry>,
  ReturnType<typeof toEntry>,
];

const setUp = () => {
  const clock = createVirtualClock();
  const events: PathEvent[] = [];
  const paths = createServerPaths({
    clock,
    random: createSeededRandom(1),
    onEvent: (event) => events.push(event),
  });
  const listKinds = () => events.map(({ kind }) => kind);
  const loseByRefusal = (entry: typeof A) => {
    paths.recordUnreached(entry, "refused");
    paths.recordCarried(entry, CARRIER);
  };
  return { clock, paths, events, listKinds, loseByRefusal };
};

describe("createServerPaths", () => {
  it("loses a path that is refused once and over which another box reaches the server", () => {
    const { paths, loseByRefusal } = setUp();
    paths.recordUnreached(A, "refused");
    expect(paths.isLost(A.id)).toBe(false);
    loseByRefusal(A);
    expect(paths.isLost(A.id)).toBe(true);
    expect(paths.isLost(B.id)).toBe(false);
  });

  it("loses a path after two connections without an answer, at one server or in a row at two", () => {
    const one = setUp().paths;
    one.recordUnreached(A, "no_connection");
    one.recordCarried(A, CARRIER);
    expect(one.isLost(A.id)).toBe(false);
    one.recordUnreached(A, "no_connection");
    one.recordCarried(A, CARRIER);
    expect(one.isLost(A.id)).toBe(true);

    const two = setUp().paths;
    two.recordUnreached(A, "no_connection");
    two.recordUnreached(B, "no_connection");
    two.recordCarried(B, CARRIER);
    expect(two.isLost(B.id)).toBe(true);
  });

  it("loses no path over single lost packets with a connection between them", () => {
    const { paths } = setUp();
    for (const entry of [A, B]) {
      paths.recordUnreached(entry, "no_connection");
      paths.recordCarried(entry, CARRIER);
      paths.recordConnected(C, 3 as Ms);
    }
    expect(paths.listLost()).toEqual([]);
  });

  it("takes all paths for lost after two in a row, until any server is reached", () => {
    const { paths, loseByRefusal, listKinds } = setUp();
    loseByRefusal(A);
    paths.recordConnected(C, 3 as Ms);
    loseByRefusal(B);
    expect(paths.isLost(C.id)).toBe(false);
    loseByRefusal(C);
    expect(paths.isLost("d" as ServerId)).toBe(true);
    paths.recordProbe(A, true);
    expect(paths.isLost("d" as ServerId)).toBe(false);
    expect(paths.listLost()).toEqual([A.id, B.id, C.id]);
    expect(listKinds()).toEqual(["lost", "lost", "lost", "all_lost", "some_left"]);
  });

  it("tries its own paths again once the servers whose paths were lost are gone", () => {
    const { paths, loseByRefusal, listKinds } = setUp();
    loseByRefusal(A);
    loseByRefusal(B);
    paths.forget(A.id);
    expect(paths.isLost(C.id)).toBe(true);
    paths.forget(B.id);
    expect(paths.isLost(C.id)).toBe(false);
    expect(listKinds()).toEqual(["lost", "lost", "all_lost", "some_left"]);
  });

  it("probes a lost path each second, and uses it again after two answers in a row", () => {
    const { clock, paths, events, loseByRefusal } = setUp();
    loseByRefusal(A);
    expect(paths.takeProbes([A, B])).toEqual([]);
    clock.advance(1_250 as Ms);
    expect(paths.takeProbes([A, B])).toEqual([A.id]);
    expect(paths.takeProbes([A, B])).toEqual([]);
    paths.recordProbe(A, true);
    paths.recordProbe(A, false);
    paths.recordProbe(A, true);
    expect(paths.isLost(A.id)).toBe(true);
    clock.advance(313 as Ms);
    expect(paths.takeProbes([A, B])).toEqual([A.id]);
    paths.recordProbe(A, true);
    expect(paths.isLost(A.id)).toBe(false);
    expect(paths.needsProbes()).toBe(false);
    expect(events.at(-1)).toEqual({ kind: "regained", server: A.id, lasted: 1_563 });
  });

  it("probes at most four lost paths at once, in turn, and one that was never tried while all count as lost", () => {
    const { clock, paths, loseByRefusal } = setUp();
    const entries = Array.from({ length: 8 }, (_, i) => toEntry(`s${i}`));
    for (const entry of entries.slice(0, 6)) loseByRefusal(entry);
    clock.advance(1_250 as Ms);
    const first = paths.takeProbes(entries);
    const second = paths.takeProbes(entries);
    expect([first.length, second.length]).toEqual([5, 3]);
    const lost = new Set(entries.slice(0, 6).map(({ id }) => id));
    expect(new Set([...first, ...second].filter((id) => lost.has(id)))).toEqual(lost);
  });

  it("waits four times the longest recent connection to a data hall, within bounds", () => {
    const { paths } = setUp();
    expect(paths.computeWait(A, 250 as Ms)).toBe(250);
    paths.recordConnected(A, 3 as Ms);
    expect(paths.computeWait(A, 250 as Ms)).toBe(60);
    paths.recordConnected(A, 40 as Ms);
    expect(paths.computeWait(B, 250 as Ms)).toBe(160);
    paths.recordConnected(A, 100 as Ms);
    expect(paths.computeWait(A, 250 as Ms)).toBe(250);
  });

  it("takes a server for down for half a second after carriers failed, and asks one while it reaches others", () => {
    const { clock, paths, listKinds } = setUp();
    clock.advance(5_000 as Ms);
    expect(paths.countUnreachedAllowed()).toBe(3);
    paths.recordConnected(B, 3 as Ms);
    expect(paths.countUnreachedAllowed()).toBe(1);
    paths.recordDown(A, "ECONNREFUSED");
    expect(paths.isDown(A.id)).toBe(true);
    clock.advance(500 as Ms);
    expect(paths.isDown(A.id)).toBe(false);
    expect(listKinds()).toEqual(["down"]);
  });
});
