/**
 * A box that was told to stop had nothing open 3.5 s later and took its row out of the list of boxes, which takes a call to the
 * store. A request that came on a kept connection meanwhile was read and sent on; its server ended it 20 ms later, and 1 ms after
 * that the box closed all connections: nobody asked again whether anything was open.
 *
 *   25.100 s  the box gets SIGTERM
 *   28.623 s  a request is sent to it, and reaches a server at 28.628 s
 *   28.648 s  its run ends: 200 ok
 *   28.649 s  the connection is closed with no answer
 */
import { describe, expect, it } from "vitest";
import { advanceSettled, createVirtualClock, type Ms } from "@stairgauge/common";
import { stopInOrder } from "./stopInOrder.js";

const GRACE_MS = 8_000 as Ms;
const LEAVE_MS = 12 as Ms;

const setUp = (grace = GRACE_MS) => {
  const clock = createVirtualClock();
  const open = new Set<string>();
  const happened: string[] = [];
  const record = (what: string) => happened.push(`${what} ${clock.monotonic()}`);
  const serve = (name: string, from: number, to: number) => {
    clock.setTimer(from as Ms, () => open.add(name));
    clock.setTimer(to as Ms, () => open.delete(name));
  };
  const leave = () =>
    new Promise<void>((resolve) => {
      record("leaves");
      clock.setTimer(LEAVE_MS, resolve);
    });
  const start = () => {
    const countOpen = () => open.size;
    void stopInOrder({ clock, countOpen, grace, leave }).then(() =>
      record(`ends with ${open.size} open,`),
    );
  };
  return { clock, happened, serve, start };
};

describe("a box that stops", () => {
  it("serves what came while it left the list of boxes", async () => {
    const { clock, happened, serve, start } = setUp();
    serve("r", 3_505, 3_530);
    start();
    await advanceSettled(clock, 5_000 as Ms);
    expect(happened).toEqual(["leaves 3500", "ends with 0 open, 3612"]);
  });

  it("ends as soon as it has left where nothing came", async () => {
    const { clock, happened, start } = setUp();
    start();
    await advanceSettled(clock, 5_000 as Ms);
    expect(happened).toEqual(["leaves 3500", "ends with 0 open, 3512"]);
  });

  it("ends before it would be killed, whatever is open", async () => {
    const { clock, happened, serve, start } = setUp();
    serve("r", 3_000, 60_000);
    start();
    await advanceSettled(clock, 9_000 as Ms);
    expect(happened).toEqual(["leaves 7800", "ends with 1 open, 7812"]);
  });
});
