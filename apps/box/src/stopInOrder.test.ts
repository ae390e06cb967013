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
import { stopInOrder } from "./stopInOrder.js";

const GRACE_MS = 8_000 as Ms;
const LEAVE_MS = 12 as Ms;

const setUp = (grace = GRACE_MS, leaveFailure?: Error) => {
  const clock = createVirtualClock();
  const open = new Set<string>();
  const recorded: string[] = [];
  const record = (what: string) => recorded.push(`${what} ${clock.monotonic()}`);
  const serve = (name: string, from: number, to: number) => {
    clock.setTimer(from as Ms, () => open.add(name));
    clock.setTimer(to as Ms, () => open.delete(name));
  };
  const leave = () =>
    new Promise<void>((resolve) => {
      record("leaves");
      if (leaveFailure) throw leaveFailure;
      clock.setTimer(LEAVE_MS, resolve);
    });
  const start = () => {
    const countOpen = () => open.size;
    void stopInOrder({
      clock,
      countOpen,
      grace,
      leave,
      onLeaveFailure: (error) => record(String(error)),
    }).then(() => record(`ends with ${open.size} open,`));
  };
  return { clock, recorded, serve, start };
};

describe("a box that stops", () => {
  it("serves a request that arrives while it leaves the list of boxes", async () => {
    const { clock, recorded, serve, start } = setUp();
    serve("r", 3_505, 3_530);
    start();
    await advanceSettled(clock, 5_000 as Ms);
    expect(recorded).toEqual(["leaves 3500", "ends with 0 open, 3612"]);
  });

  // Guards against requests that are cut, and listeners that stay open, because the list can't be written.
  it("stops in order although it can't leave the list", async () => {
    const { clock, recorded, serve, start } = setUp(GRACE_MS, new Error("no list"));
    serve("r", 3_450, 3_560);
    start();
    await advanceSettled(clock, 5_000 as Ms);
    expect(recorded).toEqual([
      "leaves 3600",
      "Error: no list 3600",
      "ends with 0 open, 3600",
    ]);
  });

  it("stops as soon as it has left the list if no request arrives", async () => {
    const { clock, recorded, start } = setUp();
    start();
    await advanceSettled(clock, 5_000 as Ms);
    expect(recorded).toEqual(["leaves 3500", "ends with 0 open, 3512"]);
  });

  it("stops before it would be killed, even if requests are open", async () => {
    const { clock, recorded, serve, start } = setUp();
    serve("r", 3_000, 60_000);
    start();
    await advanceSettled(clock, 9_000 as Ms);
    expect(recorded).toEqual(["leaves 7800", "ends with 1 open, 7812"]);
  });
});
