/** Guards against one odd row or part of another box's message that takes the whole message with it, as of a box of another release. */
import { describe, expect, it } from "vitest";
import { decodeAnswer } from "./tableCodec.js";
import { decodeNotice, decodeUpdate } from "./updateCodec.js";

const encode = (value: unknown) => Buffer.from(JSON.stringify(value));
const SOUND = { key: "a", revision: 3, era: 1, value: "YQ==" };
const ANSWER = { revision: 5, era: 1, age: 2, silence: 2 };

const WITHOUT_VALUE: readonly Readonly<[string, unknown]>[] = [
  ["a value that is a number", { ...SOUND, key: "b", value: 7 }],
  ["a value that is no base64", { ...SOUND, key: "b", value: "***" }],
  ["no value", { ...SOUND, key: "b", value: undefined }],
  [
    "a compressed value that is none",
    { ...SOUND, key: "b", value: undefined, zipped: "YQ==" },
  ],
  ["a version that is a text", { ...SOUND, key: "b", value: "", revision: "3" }],
];
const WITHOUT_KEY: readonly Readonly<[string, unknown]>[] = [
  ["a number as key", { ...SOUND, key: 7 }],
  ["null in its place", null],
  ["a list in its place", []],
];

describe("a table in another box's answer", () => {
  it.each(WITHOUT_VALUE)("holds a row with %s as one without a value", (_, row) => {
    const whole = decodeAnswer(encode({ kind: "whole", rows: [SOUND, row], ...ANSWER }));
    const changes = decodeAnswer(
      encode({ kind: "changes", changes: [SOUND, row], ...ANSWER }),
    );
    expect(whole).toMatchObject({
      rows: [{ key: "a" }, { key: "b", value: Buffer.of() }],
    });
    expect(changes).toMatchObject({
      changes: [{ kind: "put" }, { kind: "put", row: { key: "b", value: Buffer.of() } }],
    });
  });

  it.each(WITHOUT_KEY)(
    "leaves out a row with %s; changes with one have to be read again",
    (_, row) => {
      const whole = decodeAnswer(
        encode({ kind: "whole", rows: [SOUND, row], ...ANSWER }),
      );
      expect(whole.kind === "whole" && whole.rows.map(({ key }) => key)).toEqual(["a"]);
      expect(
        decodeAnswer(encode({ kind: "changes", changes: [SOUND, row], ...ANSWER })),
      ).toEqual({ kind: "history_gone" });
    },
  );

  it("is unreadable if its own version is", () => {
    expect(() =>
      decodeAnswer(encode({ kind: "whole", rows: [], ...ANSWER, revision: "5" })),
    ).toThrow();
  });
});

describe("an update or notice of another box", () => {
  const run = { server: "s", id: "r", prompt: 1, out: 1, begun: false, movable: false };
  const report = {
    server: "s",
    leaving: false,
    waiting: 0,
    firstWaiting: 0,
    running: 0,
    used: 0,
    total: 1,
    runs: [["r", 1, 1]],
  };

  it.each([[7], [null], [[1]], [{ server: 7 }]])(
    "counts without the parts that are %j",
    (odd) => {
      const update = decodeUpdate(
        encode({
          box: "b",
          whole: true,
          put: [odd, run],
          drop: [odd, { server: "s", id: "q" }],
          leaving: [odd, { server: "s", gone: true }],
          reports: [odd, { ...report, runs: [odd, ["r", 1, 1]] }],
          broken: [odd, "s"],
          crashes: { ends: [odd], served: [odd] },
          limits: {
            named: [odd, { server: "s", perSecond: 1, knownFor: 0, age: 0 }],
            lifted: [odd],
          },
          paces: [odd],
          origins: [odd],
        }),
      );
      expect(update).toMatchObject({
        put: [{ server: "s" }],
        drop: [{ id: "q" }],
        leaving: [{ server: "s" }],
        reports: [{ server: "s", report: { runs: [{ id: "r" }] } }],
        broken: ["s"],
        crashes: { ends: [], served: [] },
        limits: { named: [{ server: "s" }], lifted: [] },
      });
    },
  );

  it("counts without the rows that can't be read", () => {
    const rows = [7, { ...SOUND, value: undefined, zipped: "YQ==" }, SOUND];
    const unsettled = [{ table: "t", era: 1, kept: rows, withheld: rows }, 7];
    const notice = decodeNotice(
      encode({ leaving: [{ server: "s", gone: true }], unsettled }),
    );
    expect(notice).toMatchObject({
      leaving: [{ server: "s" }],
      unsettled: [{ kept: [{ key: "a" }], withheld: [{ key: "a" }] }],
    });
  });
});
