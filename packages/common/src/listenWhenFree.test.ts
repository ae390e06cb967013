import { describe, expect, it } from "vitest";
import { advanceSettled } from "./advanceSettled.js";
import { listenWhenFree } from "./listenWhenFree.js";
import type { Ms } from "./types.js";
import { createVirtualClock } from "./virtualClock.js";

/** Listens at an address that can't be bound until a time. */
const setUp = (code: string, freeAt: number) => {
  const clock = createVirtualClock();
  const events: string[] = [];
  const writeLine = (event: string) => void events.push(event);
  let isStopped = false;
  let attempts = 0;
  const begunAt = clock.monotonic();
  const result = listenWhenFree({
    clock,
    log: { writeNotice: writeLine, writeWarning: writeLine },
    listener: "ready",
    address: { host: "127.0.0.1", port: 81 },
    listen: ({ port }) => {
      attempts += 1;
      if (clock.monotonic() - begunAt >= freeAt) return Promise.resolve(port);
      return Promise.reject(Object.assign(new Error(code), { code }));
    },
    limit: 10_000 as Ms,
    isStopped: () => isStopped,
  }).catch((error: Error) => error.message);
  return {
    clock,
    result,
    events,
    countAttempts: () => attempts,
    stop: () => {
      isStopped = true;
    },
  };
};

describe("listenWhenFree", () => {
  it.each(["EADDRINUSE", "EADDRNOTAVAIL"])(
    "waits after %s, logged once",
    async (code) => {
      const { clock, result, events } = setUp(code, 5_000);
      await advanceSettled(clock, 6_000 as Ms);
      expect(await result).toBe(81);
      expect(events).toEqual(["address_in_use", "address_free"]);
    },
  );

  // Guards against a box that hangs for ever before a port that another program keeps.
  it("rejects with the error after its limit", async () => {
    const { clock, result } = setUp("EADDRINUSE", Infinity);
    await advanceSettled(clock, 11_000 as Ms);
    expect(await result).toBe("EADDRINUSE");
  });

  it("rejects at once if waiting does not help", async () => {
    const { result, countAttempts } = setUp("EACCES", Infinity);
    expect(await result).toBe("EACCES");
    expect(countAttempts()).toBe(1);
  });

  // Guards against a port that is bound by a box that has been stopped meanwhile.
  it("rejects once the box is stopped, without another attempt", async () => {
    const { clock, result, stop, countAttempts } = setUp("EADDRINUSE", 50);
    await advanceSettled(clock, 10 as Ms);
    stop();
    await advanceSettled(clock, 1_000 as Ms);
    expect(await result).toBe("stopped before ready could listen");
    expect(countAttempts()).toBe(1);
  });
});
