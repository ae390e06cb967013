import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createEventSplitter } from "./eventSplitter.js";

/** Splits the text at the cuts and pushes the pieces. */
const splitAll = (text: string, cuts: readonly number[]) => {
  const splitter = createEventSplitter();
  const bytes = Buffer.from(text);
  const ends = [...new Set(cuts.map((cut) => cut % (bytes.length + 1)))].sort(
    (a, b) => a - b,
  );
  const passed: Buffer[] = [];
  let events = 0;
  let start = 0;
  for (const end of [...ends, bytes.length]) {
    const batch = splitter.push(bytes.subarray(start, end));
    start = end;
    if (!batch) continue;
    passed.push(batch.bytes);
    events += batch.events;
  }
  return { splitter, passed: Buffer.concat(passed).toString(), events };
};

const line = fc.stringMatching(/^[a-z ]{0,8}$/).map((text) => `data: ${text}`);
const makeEvent = (separator: string) =>
  fc
    .tuple(fc.array(line, { minLength: 1, maxLength: 3 }), fc.option(fc.nat(999)))
    .map(([lines, id]) => ({
      id,
      text:
        [...(id === null ? [] : [`id: ${id}`]), ...lines].join(separator) +
        separator.repeat(2),
    }));

describe("createEventSplitter", () => {
  it.each(["\n", "\r\n"])(
    "passes whole events on, however they are cut (%j)",
    (separator) => {
      fc.assert(
        fc.property(
          fc.array(makeEvent(separator), { maxLength: 6 }),
          fc.stringMatching(/^[a-z]{0,6}$/),
          fc.array(fc.nat(500)),
          (events, rest, cuts) => {
            const whole = events.map(({ text }) => text).join("");
            const split = splitAll(whole + rest, cuts);
            const lastId = events.findLast(({ id }) => id !== null)?.id;
            expect(split.passed).toBe(whole);
            expect(split.events).toBe(events.length);
            expect(split.splitter.getLastEventId()).toBe(lastId?.toString());
            expect(split.splitter.takeRest().toString()).toBe(rest);
          },
        ),
        { seed: 1, numRuns: 300 },
      );
    },
  );

  it("holds an event back that was cut in the middle, and holds it no more once it is taken", () => {
    const splitter = createEventSplitter();
    expect(splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"))?.events).toBe(1);
    expect(splitter.countRest()).toBe(8);
    expect(splitter.takeRest().toString()).toBe("id: 2\nda");
    expect(splitter.countRest()).toBe(0);
    expect(splitter.push(Buffer.from("id: 2\ndata: b\n\n"))?.bytes.toString()).toBe(
      "id: 2\ndata: b\n\n",
    );
    expect(splitter.getLastEventId()).toBe("2");
  });
});
