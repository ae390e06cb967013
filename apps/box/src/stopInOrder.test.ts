/**
 * Guards against cutting off a request that arrives during a shutdown. When nothing is open the
 * box removes its row from the list of boxes, which takes a call to the store. A request that
 * arrives on a kept connection during this call is sent to a server; if the box doesn't check
 * again for open requests, it closes the client's connection without an answer:
 *
 *   25.100 s  the box gets SIGTERM
 *   28.623 s  a request is sent to it, and reaches a server at 28.628 s
 *   28.648 s  its run ends: 200 ok
 *   28.649 s  the connection is closed without an answer
 */
import { describe, expect, it } from "vitest";
import { advanceSettled, createVirtualClock, type Ms } from "@stairgauge/common";
import { computeStopTimes } from "./computeStopTimes.js";
import { stopInOrder } from "./stopInOrder.js";

const GRACE_MS = 8_000 as Ms;
const LEAVE_MS = 12 as Ms;
const ALWAYS_MS = 60_000;

type Differences = Readonly<{
  grace?: number;
  /** Time that the call which leaves the list takes. */
  leaveMs?: number;
  leaveFailure?: Error;
}>;

const setUp = ({
  grace = GRACE_MS,
  leaveMs = LEAVE_MS,
  leaveFailure,
}: Differences = {}) => {
  const clock = createVirtualClock();
  const open = new Set<string>();
  const begun = new Set<string>();
  let graceNow = grace;
  let closing = 0;
  const recorded: string[] = [];
  const record = (what: string) =>
    recorded.push(`${what} ${Math.round(clock.monotonic())}`);
  const serve = (name: string, from: number, to: number) => {
    clock.setTimer(from as Ms, () => open.add(name));
    clock.setTimer(to as Ms, () => open.delete(name));
  };
  const leave = () =>
    new Promise<void>((resolve) => {
      record("leaves");
      if (leaveFailure) throw leaveFailure;
      clock.setTimer(leaveMs as Ms, resolve);
    });
  const start = () => {
    void stopInOrder({
      clock,
      countOpen: () => open.size + begun.size,
      countClosing: () => closing,
      getEnds: () => computeStopTimes(0 as Ms, graceNow as Ms),
      leave,
      onLeaveFailure: (error) => record(String(error)),
      endUnanswered: () => {
        record(`answers ${open.size}`);
        open.clear();
      },
      breakBegun: () => {
        record(`breaks ${begun.size}`);
        begun.clear();
      },
    }).then(() => record("ends"));
  };
  return {
    clock,
    recorded,
    serve,
    start,
    begin: (name: string) => begun.add(name),
    setGrace: (changed: number) => {
      graceNow = changed;
    },
    setClosing: (count: number) => {
      closing = count;
    },
  };
};

describe("a box that stops", () => {
  it("serves a request that arrives while it leaves the list of boxes", async () => {
    const { clock, recorded, serve, start } = setUp();
    serve("r", 3_505, 3_530);
    start();
    await advanceSettled(clock, 5_000 as Ms);
    expect(recorded).toEqual([
      "leaves 3500",
      "answers 0 3600",
      "breaks 0 3630",
      "ends 3630",
    ]);
  });

  // Guards against requests that are cut, and listeners that stay open, because the list can't be written.
  it("stops in order although it can't leave the list", async () => {
    const { clock, recorded, serve, start } = setUp({
      leaveFailure: new Error("no list"),
    });
    serve("r", 3_450, 3_560);
    start();
    await advanceSettled(clock, 5_000 as Ms);
    expect(recorded).toEqual([
      "leaves 3600",
      "Error: no list 3600",
      "answers 0 3700",
      "breaks 0 3730",
      "ends 3730",
    ]);
  });

  it("stops as soon as it has left the list if no request arrives", async () => {
    const { clock, recorded, start } = setUp();
    start();
    await advanceSettled(clock, 5_000 as Ms);
    expect(recorded).toEqual([
      "leaves 3500",
      "answers 0 3600",
      "breaks 0 3630",
      "ends 3630",
    ]);
  });

  // Guards against requests that are cut when the process ends, because nobody answers them before.
  it("answers what is open before it would be killed, and then ends", async () => {
    const { clock, recorded, serve, start } = setUp();
    serve("r", 3_000, ALWAYS_MS);
    start();
    await advanceSettled(clock, 9_000 as Ms);
    expect(recorded).toEqual([
      "leaves 7333",
      "answers 1 7333",
      "breaks 0 7363",
      "ends 7363",
    ]);
  });

  it("lets answers that have begun go on until its connections are closed", async () => {
    const { clock, recorded, begin, start } = setUp();
    begin("stream");
    start();
    await advanceSettled(clock, 9_000 as Ms);
    expect(recorded).toEqual([
      "leaves 7333",
      "answers 0 7333",
      "breaks 1 7753",
      "ends 7753",
    ]);
  });

  // Guards against a process that is killed with open requests, since the store lets it wait.
  it("does not wait for a silent store beyond its end", async () => {
    const { clock, recorded, serve, start } = setUp({ leaveMs: ALWAYS_MS });
    serve("r", 3_900, ALWAYS_MS);
    start();
    await advanceSettled(clock, 9_000 as Ms);
    expect(recorded).toEqual([
      "leaves 3500",
      "answers 1 7333",
      "breaks 0 7753",
      "ends 7753",
    ]);
  });

  it("waits for clients to read their last answers, but not for longer than at the end of its time", async () => {
    const { clock, recorded, setClosing, start } = setUp();
    setClosing(1);
    start();
    await advanceSettled(clock, 5_000 as Ms);
    expect(recorded).toEqual([
      "leaves 3500",
      "answers 0 3600",
      "breaks 0 4020",
      "ends 4020",
    ]);
  });

  // Guards against a process that is killed with open requests, since its settings gave it more time when the stop began.
  it("ends earlier if the settings leave it less time meanwhile", async () => {
    const { clock, recorded, serve, setGrace, start } = setUp();
    serve("r", 1_000, ALWAYS_MS);
    start();
    clock.setTimer(2_000 as Ms, () => setGrace(4_000));
    await advanceSettled(clock, 9_000 as Ms);
    expect(recorded).toEqual([
      "leaves 3667",
      "answers 1 3667",
      "breaks 0 3697",
      "ends 3697",
    ]);
  });

  // Guards against a process that was late and closes its connections before it has answered.
  it("answers what is open although its time is over", async () => {
    const { clock, recorded, serve, begin, setGrace, start } = setUp();
    serve("r", 1_000, ALWAYS_MS);
    begin("stream");
    start();
    clock.setTimer(5_950 as Ms, () => setGrace(4_000));
    await advanceSettled(clock, 9_000 as Ms);
    expect(recorded).toEqual([
      "leaves 6000",
      "answers 1 6000",
      "breaks 1 6030",
      "ends 6030",
    ]);
  });

  it.each([1_000, 8_000, 30_000])(
    "has closed its connections before it would be killed: %i ms",
    async (grace) => {
      const { clock, recorded, begin, serve, start } = setUp({ grace });
      serve("r", 10, ALWAYS_MS);
      begin("stream");
      start();
      await advanceSettled(clock, (grace * 2) as Ms);
      const times = recorded.map((line) => Number(line.split(" ").at(-1)));
      expect(recorded.at(-1)).toMatch(/^ends/);
      expect(Math.max(...times)).toBeLessThan(grace);
      const answered = Number(
        recorded
          .find((line) => line.startsWith("answers 1"))
          ?.split(" ")
          .at(-1),
      );
      expect(answered).toBeGreaterThan((grace * 5) / 6);
      expect(answered).toBeLessThan(grace);
    },
  );
});
