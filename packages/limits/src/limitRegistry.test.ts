import { describe, expect, it } from "vitest";
import { createVirtualClock, type BoxName, type Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { createLimitRegistry } from "./limitRegistry.js";
import type { LimitEvent, LimitUpdate, LimitSignal, SharedLimit } from "./types.js";

const SERVER = "page-0@1" as ServerId;
const UNLISTED = "page-9@1" as ServerId;
const OTHER = "box-2" as BoxName;
const UNNAMED: LimitSignal = { kind: "unnamed" };
const makeNamed = (perSecond: number): LimitSignal => ({ kind: "named", perSecond });
const AT_ONCE = 0 as Ms;

const createBook = () => {
  const clock = createVirtualClock();
  const events: LimitEvent[] = [];
  const own: LimitUpdate[] = [];
  const shared: LimitUpdate[] = [];
  const renewals: LimitUpdate[] = [];
  const book = createLimitRegistry({
    clock,
    isListed: (server) => server !== UNLISTED,
    onOwnUpdate: (news) => own.push(news),
    onSharedUpdate: (news, isRenewal) => {
      shared.push(news);
      if (isRenewal) renewals.push(news);
    },
    onEvent: (event) => events.push(event),
  });
  const listKinds = () => events.map(({ kind }) => kind);
  return { clock, book, events, listKinds, own, shared, renewals };
};

describe("the book of limits", () => {
  it("knows a limit from the first answer with it, and tells it once", () => {
    const { clock, book, events } = createBook();
    book.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(700 as Ms);
    book.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(100 as Ms);
    expect(book.find(SERVER)).toEqual({ perSecond: 1.7, knownFor: 800, age: 100 });
    expect(events).toEqual([
      { kind: "named", server: SERVER, perSecond: 1.7, age: 0, by: undefined },
    ]);
  });

  it("takes a value that changes at once", () => {
    const { book, listKinds } = createBook();
    book.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    book.applySignal(SERVER, makeNamed(0.4), AT_ONCE);
    expect(book.find(SERVER)?.perSecond).toBe(0.4);
    expect(listKinds()).toEqual(["named", "changed"]);
  });

  it("is not lifted by an answer to a request that was sent before the limit was last heard", () => {
    const { clock, book } = createBook();
    book.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(7_000 as Ms);
    for (let i = 0; i < 5; i += 1) book.applySignal(SERVER, UNNAMED, 7_001 as Ms);
    expect(book.find(SERVER)?.perSecond).toBe(1.7);
    book.applySignal(SERVER, UNNAMED, 20 as Ms);
    expect(book.find(SERVER)).toBeUndefined();
  });

  it("is lifted by three answers in a row without it, after 2 s, and not by fewer", () => {
    const { clock, book } = createBook();
    book.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(2_100 as Ms);
    book.applySignal(SERVER, UNNAMED, 20 as Ms);
    book.applySignal(SERVER, UNNAMED, 20 as Ms);
    expect(book.find(SERVER)).toBeDefined();
    book.applySignal(SERVER, UNNAMED, 20 as Ms);
    expect(book.find(SERVER)).toBeUndefined();
  });

  it("is not lifted by answers in a row that came within 2 s of it", () => {
    const { clock, book } = createBook();
    book.applySignal(SERVER, makeNamed(140), AT_ONCE);
    for (let i = 0; i < 50; i += 1) {
      clock.advance(30 as Ms);
      book.applySignal(SERVER, UNNAMED, 20 as Ms);
    }
    expect(book.find(SERVER)).toBeDefined();
  });

  it("is not lifted by a server that names it in every second answer", () => {
    const { clock, book, listKinds } = createBook();
    for (let i = 0; i < 40; i += 1) {
      book.applySignal(SERVER, i % 2 === 0 ? makeNamed(1.9) : UNNAMED, 20 as Ms);
      clock.advance(600 as Ms);
    }
    expect(listKinds()).toEqual(["named"]);
  });

  it("holds longer where the server takes fewer requests", () => {
    const { clock, book } = createBook();
    book.applySignal(SERVER, makeNamed(0.4), AT_ONCE);
    clock.advance(7_000 as Ms);
    book.applySignal(SERVER, UNNAMED, AT_ONCE);
    expect(book.find(SERVER)).toBeDefined();
    clock.advance(500 as Ms);
    book.applySignal(SERVER, UNNAMED, AT_ONCE);
    expect(book.find(SERVER)).toBeUndefined();
  });

  it("keeps what is known where a server names what is no limit, and tells it once", () => {
    const { clock, book, listKinds } = createBook();
    book.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(9_000 as Ms);
    for (let i = 0; i < 3; i += 1)
      book.applySignal(SERVER, { kind: "unreadable", text: "NaN" }, AT_ONCE);
    expect(book.find(SERVER)).toEqual({ perSecond: 1.7, knownFor: 9_000, age: 0 });
    expect(listKinds()).toEqual(["named", "unreadable"]);
  });

  it("tells what is no limit once, however often another answer comes between, and again when it is another", () => {
    const { book, listKinds } = createBook();
    for (const text of ["NaN", "NaN", "-1", "-1"]) {
      book.applySignal(SERVER, { kind: "unreadable", text }, AT_ONCE);
      book.applySignal(SERVER, UNNAMED, AT_ONCE);
    }
    expect(listKinds()).toEqual(["unreadable", "unreadable"]);
  });

  it("is not lifted by calls in whose answers a server need not name it", () => {
    const { clock, book } = createBook();
    book.applySignal(SERVER, makeNamed(1.7), undefined);
    clock.advance(9_000 as Ms);
    book.applySignal(SERVER, UNNAMED, undefined);
    expect(book.find(SERVER)).toBeDefined();
  });

  it("runs out once nobody has heard of it for long, and begins anew when it is heard again", () => {
    const { clock, book, listKinds } = createBook();
    book.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(30_000 as Ms);
    expect(book.find(SERVER)).toBeUndefined();
    book.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    expect(book.find(SERVER)?.knownFor).toBe(0);
    expect(listKinds()).toEqual(["named", "run_out", "named"]);
  });

  it("knows nothing of another start of the server, nor of one that is forgotten", () => {
    const { book, listKinds } = createBook();
    book.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    expect(book.find("page-0@2" as ServerId)).toBeUndefined();
    book.forget(SERVER);
    book.forget(SERVER);
    expect(book.find(SERVER)).toBeUndefined();
    expect(listKinds()).toEqual(["named", "dropped"]);
  });
});

const makeTold = (changes: Partial<SharedLimit> = {}): LimitUpdate => ({
  named: [
    {
      server: SERVER,
      perSecond: 1.7,
      knownFor: 800 as Ms,
      age: 100 as Ms,
      ...changes,
    },
  ],
  lifted: [],
});
const makeLift = (age: number): LimitUpdate => ({
  named: [],
  lifted: [{ server: SERVER, age: age as Ms }],
});

describe("limits that other boxes tell", () => {
  it("are known as long as the box that tells them has known them", () => {
    const { clock, book, events } = createBook();
    clock.advance(5_000 as Ms);
    book.applyUpdate(makeTold(), OTHER);
    expect(book.find(SERVER)).toEqual({ perSecond: 1.7, knownFor: 800, age: 100 });
    expect(events).toEqual([
      { kind: "named", server: SERVER, perSecond: 1.7, age: 100, by: OTHER },
    ]);
  });

  it("are not kept of servers that are not listed", () => {
    const { book } = createBook();
    book.applyUpdate(makeTold({ server: UNLISTED }), OTHER);
    expect(book.isEmpty()).toBe(true);
  });

  it("give way to what was heard later, in whichever order it is told", () => {
    const { clock, book } = createBook();
    clock.advance(5_000 as Ms);
    book.applyUpdate(makeTold({ perSecond: 0.4, age: 10 as Ms }), OTHER);
    book.applyUpdate(makeTold({ perSecond: 1.7, age: 900 as Ms }), OTHER);
    expect(book.find(SERVER)?.perSecond).toBe(0.4);
    expect(book.find(SERVER)?.age).toBe(10);
  });

  it("are handed on when they are news, and each second while they are heard again", () => {
    const { clock, book, own, shared, renewals } = createBook();
    for (let i = 0; i < 20; i += 1) {
      book.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
      clock.advance(200 as Ms);
    }
    expect(own).toHaveLength(4);
    expect(shared).toHaveLength(4);
    expect(renewals).toEqual(shared.slice(1));
    book.applyUpdate(makeTold({ age: 0 as Ms }), OTHER);
    expect(own).toHaveLength(4);
    expect(shared).toHaveLength(5);
  });

  it("end their way where nothing is news: two boxes that hand each other everything on fall silent", () => {
    const one = createBook();
    const two = createBook();
    one.clock.advance(100 as Ms);
    two.clock.advance(100 as Ms);
    one.book.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    for (let round = 0; round < 10; round += 1) {
      for (const news of one.shared.splice(0)) two.book.applyUpdate(news, OTHER);
      for (const news of two.shared.splice(0)) one.book.applyUpdate(news, OTHER);
    }
    expect(one.shared).toEqual([]);
    expect(two.book.find(SERVER)?.perSecond).toBe(1.7);
  });

  it("are lifted by what another box has heard after the last answer with the limit, and by nothing before", () => {
    const { clock, book, events, shared } = createBook();
    book.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(2_500 as Ms);
    book.applyUpdate(makeLift(600), OTHER);
    expect(book.find(SERVER)).toBeDefined();
    book.applyUpdate(makeLift(400), OTHER);
    expect(book.find(SERVER)).toBeUndefined();
    expect(events.at(-1)).toEqual({
      kind: "lifted",
      server: SERVER,
      age: 2_500,
      by: OTHER,
    });
    expect(shared.at(-1)).toEqual(makeLift(400));
  });

  it("begin anew where a server names one again after a lift, whatever a box tells that has not heard of the lift", () => {
    const { clock, book } = createBook();
    book.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(7_000 as Ms);
    book.applySignal(SERVER, UNNAMED, 20 as Ms);
    clock.advance(300 as Ms);
    book.applyUpdate(makeTold({ knownFor: 7_300 as Ms, age: 10 as Ms }), OTHER);
    expect(book.find(SERVER)?.knownFor).toBeLessThanOrEqual(320);
  });

  it("do not come back by what was heard before the lift and is told late", () => {
    const { clock, book } = createBook();
    book.applySignal(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(7_000 as Ms);
    book.applySignal(SERVER, UNNAMED, 20 as Ms);
    book.applyUpdate(makeTold({ age: 100 as Ms }), OTHER);
    expect(book.find(SERVER)).toBeUndefined();
    book.applyUpdate(makeTold({ age: 10 as Ms }), OTHER);
    expect(book.find(SERVER)).toBeDefined();
  });
});
