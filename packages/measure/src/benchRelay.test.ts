/** `npm run bench:relay` ends, and is not judged by its figures here. */
import { expect, it } from "vitest";
import { spawnProcess } from "@stairgauge/testkit";

it("bench:relay opens its streams and ends", async () => {
  const durations = ["--seconds", "1", "--repeats", "1", "--warm-up", "0"];
  const bench = spawnProcess(["packages/measure/dist/benchRelayMain.js", ...durations]);
  const code = await bench.waitForExit();
  expect({ code, lines: bench.listLines() }).toMatchObject({ code: 0 });
}, 120_000);
