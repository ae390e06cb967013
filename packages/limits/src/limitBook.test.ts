import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { createLimitBook } from "./limitBook.js";
import type { LimitEvent, LimitSign } from "./types.js";

const SERVER = "page-0@1" as ServerId;
const UNNAMED: LimitSign = { kind: "unnamed" };
const makeNamed = (perSecond: number): LimitSign => ({ kind: "named", perSecond });
const AT_ONCE = 0 as Ms;

const createBook = () => {
  const clock = createVirtualClock();
  const events: LimitEvent[] = [];
  const book = createLimitBook({ clock, onEvent: (event) => events.push(event) });
  const listKinds = () => events.map(({ kind }) => kind);
  return { clock, book, events, listKinds };
};

describe("the book of limits", () => {
  it("knows a limit from the first answer with it, and tells it once", () => {
    const { clock, book, events } = createBook();
    book.takeSign(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(700 as Ms);
    book.takeSign(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(100 as Ms);
    expect(book.find(SERVER)).toEqual({ perSecond: 1.7, knownFor: 800, age: 100 });
    expect(events).toEqual([
      { kind: "named", server: SERVER, perSecond: 1.7, age: 0, by: undefined },
    ]);
  });

  it("takes a value that changes at once", () => {
    const { book, listKinds } = createBook();
    book.takeSign(SERVER, makeNamed(1.7), AT_ONCE);
    book.takeSign(SERVER, makeNamed(0.4), AT_ONCE);
    expect(book.find(SERVER)?.perSecond).toBe(0.4);
    expect(listKinds()).toEqual(["named", "changed"]);
  });

  it("is not lifted by an answer to a request that was sent before the limit was last heard", () => {
    const { clock, book } = createBook();
    book.takeSign(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(5_000 as Ms);
    book.takeSign(SERVER, UNNAMED, 5_000 as Ms);
    expect(book.find(SERVER)?.perSecond).toBe(1.7);
    book.takeSign(SERVER, UNNAMED, 20 as Ms);
    expect(book.find(SERVER)).toBeUndefined();
  });

  it("is not lifted by a server that names it in every second answer", () => {
    const { clock, book, listKinds } = createBook();
    for (let i = 0; i < 40; i += 1) {
      book.takeSign(SERVER, i % 2 === 0 ? makeNamed(1.9) : UNNAMED, 20 as Ms);
      clock.advance(600 as Ms);
    }
    expect(listKinds()).toEqual(["named"]);
  });

  it("holds longer where the server takes fewer requests", () => {
    const { clock, book } = createBook();
    book.takeSign(SERVER, makeNamed(0.5), AT_ONCE);
    clock.advance(5_000 as Ms);
    book.takeSign(SERVER, UNNAMED, AT_ONCE);
    expect(book.find(SERVER)).toBeDefined();
    clock.advance(1_000 as Ms);
    book.takeSign(SERVER, UNNAMED, AT_ONCE);
    expect(book.find(SERVER)).toBeUndefined();
  });

  it("keeps what is known where a server names what is no limit, and tells it once", () => {
    const { clock, book, listKinds } = createBook();
    book.takeSign(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(9_000 as Ms);
    for (let i = 0; i < 3; i += 1)
      book.takeSign(SERVER, { kind: "unreadable", text: "NaN" }, AT_ONCE);
    expect(book.find(SERVER)?.perSecond).toBe(1.7);
    expect(listKinds()).toEqual(["named", "unreadable"]);
  });

  it("is not lifted by calls in whose answers a server need not name it", () => {
    const { clock, book } = createBook();
    book.takeSign(SERVER, makeNamed(1.7), undefined);
    clock.advance(9_000 as Ms);
    book.takeSign(SERVER, UNNAMED, undefined);
    expect(book.find(SERVER)).toBeDefined();
  });

  it("runs out once nobody has heard of it for long, and begins anew when it is heard again", () => {
    const { clock, book, listKinds } = createBook();
    book.takeSign(SERVER, makeNamed(1.7), AT_ONCE);
    clock.advance(30_000 as Ms);
    expect(book.find(SERVER)).toBeUndefined();
    book.takeSign(SERVER, makeNamed(1.7), AT_ONCE);
    expect(book.find(SERVER)?.knownFor).toBe(0);
    expect(listKinds()).toEqual(["named", "run_out", "named"]);
  });

  it("knows nothing of another start of the server, nor of one that is forgotten", () => {
    const { book } = createBook();
    book.takeSign(SERVER, makeNamed(1.7), AT_ONCE);
    expect(book.find("page-0@2" as ServerId)).toBeUndefined();
    book.forget(SERVER);
    expect(book.find(SERVER)).toBeUndefined();
  });
});
