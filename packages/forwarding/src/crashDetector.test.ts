import { describe, expect, it } from "vitest";
import { advanceSettled, createVirtualClock, type Ms } from "@stairgauge/common";
import { NO_SIGNALS } from "@stairgauge/signals";
import { makeAbsent, type ServerPresence } from "./askServer.js";
import { makeServer } from "./server.testkit.js";
import { createCrashDetector } from "./crashDetector.js";

const SERVER = makeServer("engine-1");
const PRESENT: ServerPresence = {
  kind: "present",
  startedAt: undefined,
  signals: NO_SIGNALS,
};
const REFUSED = makeAbsent("ECONNREFUSED", "ended");
const SILENT = makeAbsent("no answer in time", "not_heard");

const checkServer = async (
  presences: readonly (ServerPresence | undefined)[],
  { isLeaving = false, times = 1 } = {},
) => {
  const clock = createVirtualClock();
  let asked = 0;
  const detector = createCrashDetector({
    clock,
    ask: async () => presences[Math.min(asked++, presences.length - 1)],
    isLeaving: () => isLeaving,
  });
  const checks = Promise.all(Array.from({ length: times }, () => detector.check(SERVER)));
  await advanceSettled(clock, 5_000 as Ms);
  const [result] = await checks;
  return { verdict: result?.verdict, asked };
};

describe("createCrashDetector", () => {
  it.each<[string, readonly (ServerPresence | undefined)[], string, number]>([
    ["nothing listens at its address", [REFUSED], "ended", 1],
    ["it was restarted", [makeAbsent("again", "ended")], "ended", 1],
    ["it answers", [PRESENT], "lives", 1],
    ["it dies slowly", [SILENT, SILENT, REFUSED], "ended", 3],
    ["it answers late", [SILENT, PRESENT], "lives", 2],
    ["its data hall is cut off or without power", [SILENT], "not_known", 4],
    ["it has no health path", [undefined], "not_known", 1],
  ])("returns a verdict on a server when %s", async (_, presences, verdict, asked) => {
    expect(await checkServer(presences)).toEqual({ verdict, asked });
  });

  it("shares one check between all requests that break at the same time", async () => {
    expect(await checkServer([REFUSED], { times: 40 })).toEqual({
      verdict: "ended",
      asked: 1,
    });
  });

  it("knows nothing of a server whose check throws, and checks it again", async () => {
    let asked = 0;
    const detector = createCrashDetector({
      clock: createVirtualClock(),
      ask: () => {
        asked += 1;
        return Promise.reject(new Error("fault of the test"));
      },
      isLeaving: () => false,
    });
    for (const count of [1, 2]) {
      expect(await detector.check(SERVER)).toMatchObject({ verdict: "not_known" });
      expect(asked).toBe(count);
    }
  });

  it("sends no health check to a leaving server", async () => {
    const left = await checkServer([REFUSED], { isLeaving: true });
    expect(left).toEqual({ verdict: "left", asked: 0 });
  });
});
