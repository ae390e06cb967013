import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createEventSplitter } from "./eventSplitter.js";

/** Cuts the text at the given positions and pushes the pieces. */
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

/** A line and how it ends. */
type Line = Readonly<{ text: string; end: string }>;

const lineEnd = fc.constantFrom("\n", "\r\n");
/** Lines with an id, and lines that only look similar. */
const anyLine = fc.oneof(
  fc.constantFrom("versions: 3", "data: id: 5", ": id: 6", "data", " id: 7", "idle: 8"),
  fc.stringMatching(/^data: ?[a-zäé ]{0,6}$/),
  fc.stringMatching(/^id:[ ]{0,2}[a-z0-9-]{0,4}$/),
);
/** Lines of one event; the last one is empty and ends it. */
const mixedEvent: fc.Arbitrary<readonly Line[]> = fc
  .tuple(
    fc.array(fc.record({ text: anyLine, end: lineEnd }), { minLength: 1, maxLength: 4 }),
    lineEnd,
  )
  .map(([lines, end]) => [...lines, { text: "", end }]);
const formatMixed = (lines: readonly Line[]) =>
  lines.map(({ text, end }) => text + end).join("");
const findId = (lines: readonly Line[]) =>
  lines
    .findLast(({ text }) => text.startsWith("id:"))
    ?.text.slice("id:".length)
    .replace(/^ /, "");

describe("createEventSplitter", () => {
  it.each(["\n", "\r\n"])(
    "returns complete events, however the stream is cut into chunks (line end %j, property)",
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
            expect(split.splitter.takePending().toString()).toBe(rest);
          },
        ),
        { seed: 1, numRuns: 300 },
      );
    },
  );

  it("finds event ends and the last id for any mix of lines and line ends (property)", () => {
    fc.assert(
      fc.property(
        fc.array(mixedEvent, { maxLength: 5 }),
        mixedEvent,
        fc.nat(200),
        fc.array(fc.nat(300), { maxLength: 40 }),
        (events, next, cut, cuts) => {
          const whole = events.map(formatMixed).join("");
          const following = formatMixed(next);
          const rest = following.slice(0, cut % following.length);
          const split = splitAll(whole + rest, cuts);
          expect(split.passed).toBe(whole);
          expect(split.events).toBe(events.length);
          expect(split.splitter.getLastEventId()).toBe(findId(events.flat()));
          expect(split.splitter.takePending().toString()).toBe(rest);
        },
      ),
      { seed: 2, numRuns: 1_000 },
    );
  });

  it("keeps the last id when pending bytes are dropped, and then starts a new event (property)", () => {
    fc.assert(
      fc.property(
        fc.array(mixedEvent, { maxLength: 3 }),
        mixedEvent,
        fc.nat(200),
        fc.array(mixedEvent, { maxLength: 3 }),
        fc.array(fc.nat(300), { maxLength: 20 }),
        (first, broken, cut, second, cuts) => {
          const left = formatMixed(broken);
          const whole = first.map(formatMixed).join("");
          const { splitter, passed } = splitAll(
            whole + left.slice(0, cut % left.length),
            cuts,
          );
          expect(passed).toBe(whole);
          expect(splitter.getLastEventId()).toBe(findId(first.flat()));
          expect(splitter.takePending().toString()).toBe(
            left.slice(0, cut % left.length),
          );
          expect(splitter.takePending()).toHaveLength(0);
          const further = second.map(formatMixed).join("");
          const batch = splitter.push(Buffer.from(further));
          expect(batch?.bytes.toString() ?? "").toBe(further);
          expect(splitter.getLastEventId()).toBe(findId([...first, ...second].flat()));
        },
      ),
      { seed: 3, numRuns: 500 },
    );
  });

  it("buffers an incomplete event until it is taken", () => {
    const splitter = createEventSplitter();
    expect(splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"))?.events).toBe(1);
    expect(splitter.countPendingBytes()).toBe(8);
    expect(splitter.takePending().toString()).toBe("id: 2\nda");
    expect(splitter.countPendingBytes()).toBe(0);
    expect(splitter.push(Buffer.from("id: 2\ndata: b\n\n"))?.bytes.toString()).toBe(
      "id: 2\ndata: b\n\n",
    );
    expect(splitter.getLastEventId()).toBe("2");
  });
});

/**
 * Lines may end with a carriage return alone. If the splitter misses that, an event is delayed until the
 * answer ends, and an id is lost or includes the next line. If extra blank lines after an event count as
 * an event or as pending bytes, a normal end of the stream looks like an end within an event.
 */
describe("createEventSplitter with unusual line ends", () => {
  it.each([
    ["id: 1\rdata: a\r\r", "1"],
    ["id: 1\r\ndata: a\r\n\rid: 2\r\ndata: b\n\r\n", "2"],
    ["data: a\rid: 1\n\n", "1"],
    ["id: 1\rdata: a\n\n", "1"],
  ])("returns the events and the last id: %j", (text, id) => {
    // Text follows because a final carriage return may be the first half of a line end.
    const { passed, splitter } = splitAll(`${text}: next`, []);
    expect(passed).toBe(text);
    expect(splitter.getLastEventId()).toBe(id);
  });

  it("counts the same events however the blank lines after them are cut (property)", () => {
    const blank = fc.array(lineEnd, { maxLength: 3 }).map((ends) => ends.join(""));
    fc.assert(
      fc.property(
        fc.array(fc.tuple(mixedEvent.map(formatMixed), blank), { maxLength: 3 }),
        fc.array(fc.nat(100)),
        (pieces, cuts) => {
          const text = pieces.flat().join("");
          const split = splitAll(text, cuts);
          const whole = splitAll(text, []);
          expect(split.events).toBe(whole.events);
          expect(split.splitter.takePending()).toEqual(whole.splitter.takePending());
        },
      ),
      { seed: 4, numRuns: 500 },
    );
  });

  it.each([
    ["data: a\r\n\r", "data: a\r\n\r".length],
    ["data: a\r\r", 0],
    ["data: a\n\n\n\r\n", 0],
    ["data: a\n\n\ndata", 5],
    ["data: a\n", 8],
  ])("counts the bytes of an incomplete event at the end of %j: %i", (text, left) => {
    const splitter = createEventSplitter();
    splitter.push(Buffer.from(text));
    expect(splitter.countPendingBytes()).toBe(left);
  });
});
