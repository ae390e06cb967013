import { describe, expect, it } from "vitest";
import { advanceSettled, createVirtualClock, type Ms } from "@stairgauge/common";
import { NO_SIGNALS } from "@stairgauge/signals";
import { makeAbsent, type ServerPresence } from "./askServer.js";
import { makeServer } from "./server.testkit.js";
import { createServerEnds } from "./serverEnds.js";

const SERVER = makeServer("engine-1");
const PRESENT: ServerPresence = {
  kind: "present",
  startedAt: undefined,
  signs: NO_SIGNALS,
};
const REFUSED = makeAbsent("ECONNREFUSED", "ended");
const SILENT = makeAbsent("no answer in time", "not_heard");

const judge = async (
  signs: readonly (ServerPresence | undefined)[],
  { isLeaving = false, times = 1 } = {},
) => {
  const clock = createVirtualClock();
  let asked = 0;
  const ends = createServerEnds({
    clock,
    ask: async () => signs[Math.min(asked++, signs.length - 1)],
    isLeaving: () => isLeaving,
  });
  const judged = Promise.all(Array.from({ length: times }, () => ends.judge(SERVER)));
  await advanceSettled(clock, 5_000 as Ms);
  const [end] = await judged;
  return { verdict: end?.verdict, asked };
};

describe("createServerEnds", () => {
  it.each<[string, readonly (ServerPresence | undefined)[], string, number]>([
    ["nothing listens at its address", [REFUSED], "ended", 1],
    ["another start of it answers", [makeAbsent("again", "ended")], "ended", 1],
    ["it answers for itself", [PRESENT], "lives", 1],
    ["it dies slowly", [SILENT, SILENT, REFUSED], "ended", 3],
    ["it was only slow", [SILENT, PRESENT], "lives", 2],
    ["its hall is cut off or dark", [SILENT], "not_known", 4],
    ["it can't be asked", [undefined], "not_known", 1],
  ])("judges a server when %s", async (_, signs, verdict, asked) => {
    expect(await judge(signs)).toEqual({ verdict, asked });
  });

  it("asks once for all requests that break together", async () => {
    expect(await judge([REFUSED], { times: 40 })).toEqual({ verdict: "ended", asked: 1 });
  });

  it("takes the end of a server that leaves as planned", async () => {
    const left = await judge([REFUSED], { isLeaving: true });
    expect(left).toEqual({ verdict: "left", asked: 0 });
  });
});
