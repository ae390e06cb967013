import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import fc from "fast-check";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  buildTimeline,
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

/** Creates a log writer for one box; its monotonic clock starts at zero. */
const createBoxLog = (box: string, startsAt = 1_000_000) => {
  let at = 0;
  const lines: string[] = [];
  const write = (event: string, fields: Fields = {}) => {
    const line = { level: 30, at, time: startsAt + at, box, ...fields, event };
    lines.push(JSON.stringify(line));
  };
  return {
    lines,
    write,
    writeRequest: (request: string, event: string, fields: Fields = {}) =>
      write(event, { request, route: "draft", ...fields }),
    advance: (duration: number) => {
      at += duration;
    },
  };
};

type BoxLog = ReturnType<typeof createBoxLog>;

const parseAll = (...boxes: readonly BoxLog[]): readonly LogLine[] =>
  boxes.flatMap(({ lines }) =>
    lines.flatMap((text) => {
      const parsed = parseLogLine(text);
      return parsed.ok ? [parsed.val] : [];
    }),
  );

const findCause = (lines: readonly LogLine[], request = "r"): string | undefined => {
  const accounts = collectAccounts(buildTimeline(lines));
  const own = accounts.find((account) => account.request === request);
  return own && describeCause(own.cause);
};

const AIMS = { aimMs: 1_800, pauseAimMs: 180 };

describe("cause of a request", () => {
  const logRequest = (...steps: readonly (readonly [string, Fields])[]) => {
    const box = createBoxLog("a");
    box.write("starting");
    for (const [event, fields] of steps) {
      box.advance(10);
      box.writeRequest("r", event, fields);
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
    ["no capacity: no room", [["refused", { reason: "no_room", status: 503 }]]],
    ["no capacity: too late", [["refused", { reason: "too_late", status: 503 }]]],
    [
      "server failed: answer lost",
      [makePlaced(0), ["refused", { reason: "too_late", status: 502 }]],
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
    [
      "box ended",
      [
        makePlaced(0),
        ["stop_reached", { mayHaveRun: true }],
        ["refused", { reason: "box_is_stopping", status: 502 }],
      ],
    ],
    ["box ended", [makePlaced(0), ["stop_reached", { mayHaveRun: true }]]],
    [
      "refused: box_is_stopping",
      [["refused", { reason: "box_is_stopping", status: 503 }]],
    ],
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
    expect(findCause(parseAll(logRequest(...steps)))).toBe(expected);
  });

  it("classifies an engine that was known to be leaving as announced", () => {
    const box = createBoxLog("a");
    box.write("starting");
    box.writeRequest("r", "placed", { server: "s1" });
    box.write("server_leaving", { server: "s1", reason: "state" });
    box.writeRequest("r", "stream_lost", { server: "s1" });
    expect(findCause(parseAll(box))).toBe("engine ended: before copy");
  });

  it("classifies a request left open as ended by its box when the box restarted, went silent or stopped", () => {
    const restarted = createBoxLog("a");
    restarted.write("starting");
    restarted.writeRequest("r", "placed");
    restarted.write("starting");
    expect(findCause(parseAll(restarted))).toBe("box ended");

    const silent = createBoxLog("a");
    silent.write("starting");
    silent.writeRequest("r", "placed");
    const other = createBoxLog("b");
    other.advance(5_000);
    other.write("peers");
    expect(findCause(parseAll(silent, other))).toBe("box ended");

    const stopped = createBoxLog("a");
    stopped.write("starting");
    stopped.writeRequest("r", "placed");
    stopped.write("stopped");
    expect(findCause(parseAll(stopped))).toBe("box ended");
  });

  it("classifies a request as unexplained when its box kept running and logged no end", () => {
    const box = createBoxLog("a");
    box.write("starting");
    box.writeRequest("r", "placed");
    box.advance(61_000);
    box.write("peers", { linesLeftOut: 4 });
    const timeline = buildTimeline(parseAll(box));
    expect(findCause(parseAll(box))).toBe("unexplained");
    expect(timeline.droppedLines).toBe(4);
  });

  it("classifies a sent id that no line contains as never reached", () => {
    const box = createBoxLog("a");
    box.writeRequest("r", "answered", { status: 200, afterMs: 1, aimMs: 5 });
    const accounts = collectAccounts(buildTimeline(parseAll(box)), ["r", "x", "x"]);
    expect(accounts.map(({ request, cause }) => [request, cause.kind])).toEqual([
      ["r", "served"],
      ["x", "never_reached"],
    ]);
  });
});

describe("buildTimeline", () => {
  it("puts boxes with different monotonic clocks on one time, also when the time of day jumps", () => {
    const early = createBoxLog("a", 5_000_000);
    early.write("starting");
    early.advance(3_000);
    early.writeRequest("r1", "answered", { status: 200, afterMs: 1, aimMs: 5 });
    const late = createBoxLog("b", 5_002_000);
    late.write("starting");
    for (let i = 0; i < 3; i += 1) late.write("peers");
    late.advance(1_000);
    late.writeRequest("r2", "answered", { status: 200, afterMs: 1, aimMs: 5 });
    late.lines[2] = late.lines[2]!.replace("5002000", "9999999");
    const accounts = collectAccounts(buildTimeline(parseAll(early, late)));
    expect(accounts.map(({ second }) => second)).toEqual([3, 3]);
  });

  it("returns exactly one account for every request, for any lines (property)", () => {
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
      fc.property(fc.array(line, { minLength: 1 }), (samples) => {
        const texts = samples.map((one) => JSON.stringify(one));
        const lines = texts.flatMap((text) => {
          const parsed = parseLogLine(text);
          return parsed.ok ? [parsed.val] : [];
        });
        const timeline = buildTimeline(lines);
        const accounts = collectAccounts(timeline);
        expect(accounts).toHaveLength(timeline.requestLogs.length);
        const counted = countLosses(accounts).reduce((sum, one) => sum + one.requests, 0);
        expect(counted).toBe(accounts.length);
      }),
      { seed: 1, numRuns: 300 },
    );
  });
});

describe("countLosses", () => {
  it("sorts by worth, highest first, and reports the second with the most requests", () => {
    const box = createBoxLog("a");
    box.write("starting");
    for (const id of ["r1", "r2", "r3"])
      box.write("answered", { request: id, route: "plain", status: 500 });
    box.advance(2_500);
    box.writeRequest("r4", "stream_lost", { server: "s1" });
    const accounts = collectAccounts(buildTimeline(parseAll(box)));
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
  it("returns the request's own lines and the box's events about its servers only", () => {
    const box = createBoxLog("a");
    box.write("store_lost", { failure: { kind: "timeout" } });
    box.writeRequest("r", "placed", { server: "s1", versionAgeMs: 40 });
    box.write("server_leaving", { server: "s2" });
    box.write("server_leaving", { server: "s1" });
    box.advance(7);
    box.writeRequest("r", "stream_lost", { server: "s1" });
    const timeline = buildTimeline(parseAll(box));
    const [explained] = explainRequest(timeline, "r");
    expect(explained!.steps.map(({ event, afterMs }) => [event, afterMs])).toEqual([
      ["store_lost", 0],
      ["server_leaving", 0],
      ["placed", 0],
      ["stream_lost", 7],
    ]);
    expect(explained!.steps[2]!.inputs).toMatchObject({ versionAgeMs: 40 });
    expect(explainRequest(timeline, "other")).toEqual([]);
  });
});

describe("explainRequest of a stream continued on another server", () => {
  it("shows how the bytes of each server ended, and the box's events about both servers", () => {
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
    const box = createBoxLog("a");
    box.writeRequest("r", "placed", { server: "s1" });
    box.advance(5);
    box.write("server_leaving", { server: "s1" });
    box.advance(40);
    box.writeRequest("r", "resumed", { from: "s1", to: "s2", events: 1, ...first });
    box.advance(5);
    box.write("server_leaving", { server: "s2" });
    box.advance(30);
    box.writeRequest("r", "stream_ended", { server: "s2", ...second });
    const [explained] = explainRequest(buildTimeline(parseAll(box)), "r");
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
  it("draws each cause of a loss, and leaves out served requests", async () => {
    const box = createBoxLog("a");
    box.writeRequest("r1", "answered", { status: 500 });
    box.writeRequest("r2", "answered", { status: 200, afterMs: 1, aimMs: 5 });
    const svg = await renderLossPlot(collectAccounts(buildTimeline(parseAll(box))));
    expect(svg.startsWith("<svg")).toBe(true);
    expect(svg).toContain("server failed: own failure");
    expect(svg).not.toContain(">served<");
  });
});

describe("renderLossPlot with many routes", () => {
  it("gives the routes with most losses a row each, and all others one shared row", async () => {
    const box = createBoxLog("a");
    for (let route = 0; route < 9; route += 1)
      for (let i = 0; i <= route; i += 1)
        box.write("answered", {
          request: `r${route}-${i}`,
          route: `route-${route}`,
          status: 500,
        });
    const svg = await renderLossPlot(collectAccounts(buildTimeline(parseAll(box))));
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

  it("counts unusable lines by fault, and returns the usable lines of a truncated file", async () => {
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

  it("fails with unreadable_file when a file cannot be read", async () => {
    const read = await readLogs([join(folder, "none.log")]);
    expect(read.err && read.val).toMatchObject({ kind: "unreadable_file" });
  });
});
