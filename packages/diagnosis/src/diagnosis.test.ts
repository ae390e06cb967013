import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import fc from "fast-check";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  buildChronicle,
  collectAccounts,
  countLosses,
  describeCause,
  explainRequest,
  parseLogLine,
  readLogs,
  renderLossPlot,
  type LogLine,
} from "./index.js";

type Fields = Readonly<Record<string, unknown>>;

/** Writes lines of one box; its steady clock starts at zero. */
const makeBox = (box: string, startsAt = 1_000_000) => {
  let at = 0;
  const lines: string[] = [];
  const write = (event: string, fields: Fields = {}) => {
    const line = { level: 30, at, time: startsAt + at, box, ...fields, event };
    lines.push(JSON.stringify(line));
  };
  return {
    lines,
    write,
    about: (request: string, event: string, fields: Fields = {}) =>
      write(event, { request, route: "draft", ...fields }),
    pass: (duration: number) => {
      at += duration;
    },
  };
};

type BoxLog = ReturnType<typeof makeBox>;

const parseAll = (...boxes: readonly BoxLog[]): readonly LogLine[] =>
  boxes.flatMap(({ lines }) =>
    lines.flatMap((text) => {
      const parsed = parseLogLine(text);
      return parsed.ok ? [parsed.val] : [];
    }),
  );

const findCause = (lines: readonly LogLine[], request = "r"): string | undefined => {
  const accounts = collectAccounts(buildChronicle(lines));
  const own = accounts.find((account) => account.request === request);
  return own && describeCause(own.cause);
};

const AIMS = { aimMs: 1_800, pauseAimMs: 180 };

describe("the cause of what a request met", () => {
  const tell = (...steps: readonly (readonly [string, Fields])[]) => {
    const box = makeBox("a");
    box.write("starting");
    for (const [event, fields] of steps) {
      box.pass(10);
      box.about("r", event, fields);
    }
    return box;
  };
  const makePlaced = (afterMs: number) => ["placed", { server: "s1", afterMs }] as const;

  it.each<[string, readonly (readonly [string, Fields])[]]>([
    ["served", [makePlaced(0), ["answered", { status: 200, afterMs: 90, aimMs: 100 }]]],
    [
      "served",
      [
        makePlaced(0),
        ["stream_ended", { firstEventAfter: 900, longestPause: 90, ...AIMS }],
      ],
    ],
    [
      "late: server",
      [makePlaced(0), ["answered", { status: 200, afterMs: 190, aimMs: 100 }]],
    ],
    [
      "late: repeat",
      [
        makePlaced(0),
        ["retry", { reason: "silent" }],
        makePlaced(80),
        ["answered", { status: 200, afterMs: 190, aimMs: 100 }],
      ],
    ],
    [
      "late: waiting",
      [
        ["waits", { afterMs: 0 }],
        makePlaced(720),
        ["stream_ended", { firstEventAfter: 2_300, longestPause: 90, ...AIMS }],
      ],
    ],
    [
      "late: prompt",
      [
        ["waits", { afterMs: 0 }],
        makePlaced(100),
        ["stream_ended", { firstEventAfter: 2_300, longestPause: 90, ...AIMS }],
      ],
    ],
    [
      "late: pause",
      [
        makePlaced(0),
        ["stream_ended", { firstEventAfter: 900, longestPause: 181, ...AIMS }],
      ],
    ],
    [
      "refused: knowledge_too_old",
      [["refused", { reason: "knowledge_too_old", status: 503 }]],
    ],
    ["server failed: own failure", [makePlaced(0), ["answered", { status: 500 }]]],
    [
      "server failed: answer lost",
      [makePlaced(0), ["refused", { reason: "answer_lost", status: 502 }]],
    ],
    [
      "out of time",
      [
        makePlaced(0),
        ["out_of_time", {}],
        ["refused", { reason: "out_of_time", status: 504 }],
      ],
    ],
    ["out of time", [makePlaced(0), ["out_of_time", { mayHaveRun: true }]]],
    ["client left", [makePlaced(0), ["client_left", { events: 3 }]]],
    ["engine ended: unannounced", [makePlaced(0), ["stream_lost", { server: "s1" }]]],
    [
      "engine ended: before copy",
      [makePlaced(0), ["move_begun", {}], ["stream_lost", { server: "s1" }]],
    ],
    [
      "engine ended: after copy",
      [
        makePlaced(0),
        ["move_begun", {}],
        ["copied", {}],
        ["stream_lost", { server: "s1" }],
      ],
    ],
    [
      "engine ended: within an event",
      [
        makePlaced(0),
        [
          "stream_ended",
          {
            firstEventAfter: 2_900,
            longestPause: 0,
            closed: "in_order",
            bytesLeft: 7,
            ...AIMS,
          },
        ],
      ],
    ],
    [
      "engine ended: unannounced",
      [makePlaced(0), ["stream_lost", { server: "s1", bytesLeft: 7 }]],
    ],
    [
      "served",
      [
        makePlaced(0),
        ["resumed", { from: "s1", to: "s2", bytesLeft: 7 }],
        [
          "stream_ended",
          { firstEventAfter: 900, longestPause: 90, bytesLeft: 0, ...AIMS },
        ],
      ],
    ],
    ["still open", [makePlaced(0)]],
  ])("%s", (expected, steps) => {
    expect(findCause(parseAll(tell(...steps)))).toBe(expected);
  });

  it("tells an engine whose leaving was known from one that went without a word", () => {
    const box = makeBox("a");
    box.write("starting");
    box.about("r", "placed", { server: "s1" });
    box.write("server_leaving", { server: "s1", reason: "state" });
    box.about("r", "stream_lost", { server: "s1" });
    expect(findCause(parseAll(box))).toBe("engine ended: before copy");
  });

  it("counts what was open at a box that started anew, fell silent or stopped as the box's end", () => {
    const again = makeBox("a");
    again.write("starting");
    again.about("r", "placed");
    again.write("starting");
    expect(findCause(parseAll(again))).toBe("box ended");

    const silent = makeBox("a");
    silent.write("starting");
    silent.about("r", "placed");
    const other = makeBox("b");
    other.pass(5_000);
    other.write("peers");
    expect(findCause(parseAll(silent, other))).toBe("box ended");

    const stopped = makeBox("a");
    stopped.write("starting");
    stopped.about("r", "placed");
    stopped.write("stopped");
    expect(findCause(parseAll(stopped))).toBe("box ended");
  });

  it("does not guess at a request that its box went on without", () => {
    const box = makeBox("a");
    box.write("starting");
    box.about("r", "placed");
    box.pass(61_000);
    box.write("peers", { linesLeftOut: 4 });
    const chronicle = buildChronicle(parseAll(box));
    expect(findCause(parseAll(box))).toBe("unexplained");
    expect(chronicle.leftOut).toBe(4);
  });

  it("counts an id that no line names as never reached", () => {
    const box = makeBox("a");
    box.about("r", "answered", { status: 200, afterMs: 1, aimMs: 5 });
    const accounts = collectAccounts(buildChronicle(parseAll(box)), ["r", "x", "x"]);
    expect(accounts.map(({ request, cause }) => [request, cause.kind])).toEqual([
      ["r", "served"],
      ["x", "never_reached"],
    ]);
  });
});

describe("buildChronicle", () => {
  it("puts boxes with steady clocks of their own on one time, also while the time of day jumps", () => {
    const early = makeBox("a", 5_000_000);
    early.write("starting");
    early.pass(3_000);
    early.about("r1", "answered", { status: 200, afterMs: 1, aimMs: 5 });
    const late = makeBox("b", 5_002_000);
    late.write("starting");
    for (let i = 0; i < 3; i += 1) late.write("peers");
    late.pass(1_000);
    late.about("r2", "answered", { status: 200, afterMs: 1, aimMs: 5 });
    late.lines[2] = late.lines[2]!.replace("5002000", "9999999");
    const accounts = collectAccounts(buildChronicle(parseAll(early, late)));
    expect(accounts.map(({ second }) => second)).toEqual([3, 3]);
  });

  it("gives every request exactly one account, whatever the lines (property)", () => {
    const event = fc.constantFrom(
      "starting",
      "placed",
      "answered",
      "stream_ended",
      "refused",
      "stream_lost",
      "client_left",
      "out_of_time",
      "stopped",
      "peers",
    );
    const line = fc.record({
      box: fc.constantFrom("a", "b"),
      at: fc.nat(100_000),
      event,
      request: fc.constantFrom("r1", "r2", "r3"),
      status: fc.constantFrom(200, 500),
    });
    fc.assert(
      fc.property(fc.array(line, { minLength: 1 }), (drawn) => {
        const texts = drawn.map((one) => JSON.stringify(one));
        const lines = texts.flatMap((text) => {
          const parsed = parseLogLine(text);
          return parsed.ok ? [parsed.val] : [];
        });
        const chronicle = buildChronicle(lines);
        const accounts = collectAccounts(chronicle);
        expect(accounts).toHaveLength(chronicle.stories.length);
        const counted = countLosses(accounts).reduce((sum, one) => sum + one.requests, 0);
        expect(counted).toBe(accounts.length);
      }),
      { seed: 1, numRuns: 300 },
    );
  });
});

describe("countLosses", () => {
  it("puts what is worth most first, and names the worst second", () => {
    const box = makeBox("a");
    box.write("starting");
    for (const id of ["r1", "r2", "r3"])
      box.write("answered", { request: id, route: "plain", status: 500 });
    box.pass(2_500);
    box.about("r4", "stream_lost", { server: "s1" });
    const accounts = collectAccounts(buildChronicle(parseAll(box)));
    const [first, second] = countLosses(accounts, new Map([["draft", 100]]));
    expect(first).toMatchObject({ route: "draft", worth: 100, worstSecond: 2 });
    expect(second).toMatchObject({
      route: "plain",
      requests: 3,
      share: 1,
      inWorstSecond: 3,
    });
  });
});

describe("explainRequest", () => {
  it("tells a request's own lines and what its box met meanwhile, of its servers only", () => {
    const box = makeBox("a");
    box.write("store_lost", { failure: { kind: "timeout" } });
    box.about("r", "placed", { server: "s1", versionAgeMs: 40 });
    box.write("server_leaving", { server: "s2" });
    box.write("server_leaving", { server: "s1" });
    box.pass(7);
    box.about("r", "stream_lost", { server: "s1" });
    const chronicle = buildChronicle(parseAll(box));
    const [explained] = explainRequest(chronicle, "r");
    expect(explained!.steps.map(({ event, afterMs }) => [event, afterMs])).toEqual([
      ["store_lost", 0],
      ["server_leaving", 0],
      ["placed", 0],
      ["stream_lost", 7],
    ]);
    expect(explained!.steps[2]!.inputs).toMatchObject({ versionAgeMs: 40 });
    expect(explainRequest(chronicle, "other")).toEqual([]);
  });
});

describe("explainRequest of a stream that went on elsewhere", () => {
  it("tells how each server's bytes ended, and what its box met of both", () => {
    const first = {
      framing: "connection",
      closed: "ECONNRESET",
      lastEventId: "0",
      bytesLeft: 7,
      continuations: 0,
      serverStanding: "leaving",
      standingAgeMs: 40,
    };
    const second = {
      ...first,
      closed: "in_order",
      lastEventId: "3",
      bytesLeft: 0,
      continuations: 1,
    };
    const box = makeBox("a");
    box.about("r", "placed", { server: "s1" });
    box.pass(5);
    box.write("server_leaving", { server: "s1" });
    box.pass(40);
    box.about("r", "resumed", { from: "s1", to: "s2", events: 1, ...first });
    box.pass(5);
    box.write("server_leaving", { server: "s2" });
    box.pass(30);
    box.about("r", "stream_ended", { server: "s2", ...second });
    const [explained] = explainRequest(buildChronicle(parseAll(box)), "r");
    const { cause, steps } = explained!;
    expect(describeCause(cause)).toBe("served");
    expect(steps.map(({ event, afterMs }) => [event, afterMs])).toEqual([
      ["placed", 0],
      ["server_leaving", 5],
      ["resumed", 45],
      ["server_leaving", 50],
      ["stream_ended", 80],
    ]);
    expect(steps[2]!.inputs).toMatchObject(first);
    expect(steps[4]!.inputs).toMatchObject(second);
  });
});

describe("renderLossPlot", () => {
  it("draws each cause that took something, and none that did not", async () => {
    const box = makeBox("a");
    box.about("r1", "answered", { status: 500 });
    box.about("r2", "answered", { status: 200, afterMs: 1, aimMs: 5 });
    const svg = await renderLossPlot(collectAccounts(buildChronicle(parseAll(box))));
    expect(svg.startsWith("<svg")).toBe(true);
    expect(svg).toContain("server failed: own failure");
    expect(svg).not.toContain(">served<");
  });
});

describe("renderLossPlot with many routes", () => {
  it("gives the worst a row each, and the rest one together", async () => {
    const box = makeBox("a");
    for (let route = 0; route < 9; route += 1)
      for (let i = 0; i <= route; i += 1)
        box.write("answered", {
          request: `r${route}-${i}`,
          route: `route-${route}`,
          status: 500,
        });
    const svg = await renderLossPlot(collectAccounts(buildChronicle(parseAll(box))));
    expect(svg).toContain(">route-8<");
    expect(svg).toContain(">(other routes)<");
    expect(svg).not.toContain(">route-0<");
  });
});

describe("readLogs", () => {
  let folder: string;
  beforeAll(() => {
    folder = mkdtempSync(join(tmpdir(), "stairgauge-diagnosis-"));
  });
  afterAll(() => rmSync(folder, { recursive: true }));

  it("counts lines that it cannot use by their fault, and uses the rest of a file that is cut off", async () => {
    const path = join(folder, "a.log");
    const whole = JSON.stringify({ box: "a", at: 1, event: "peers" });
    const texts = [
      `12.5 box-a ${whole}`,
      "no object",
      '{"level":30}',
      "",
      whole.slice(0, 9),
    ];
    writeFileSync(path, texts.join("\n"));
    const read = await readLogs([path]);
    expect(read.ok && read.val).toMatchObject({
      lines: [{ box: "a", event: "peers" }],
      faults: { no_object: 2, broken_object: 1, foreign_object: 1 },
    });
  });

  it("names a file that it cannot read", async () => {
    const read = await readLogs([join(folder, "none.log")]);
    expect(read.err && read.val).toMatchObject({ kind: "unreadable_file" });
  });
});
