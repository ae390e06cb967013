/**
 * Guards against streams that end as complete although an event comes from no run. Random
 * scripts with fixed seeds cover every way in which a stream continues at another engine:
 * answers in chunks, with a length or without framing, cut at any byte, in pieces of any size,
 * closed or reset, refused or silent, from the first event or after one that the client has.
 */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  anyScript,
  describeFault,
  dropPartialEvents,
  startScriptedBox,
  type Script,
} from "./joins.testkit.js";

const SCRIPTS = 800;
const PARALLEL = 150;

/** Maximum number of faults in the output of a failed test. */
const MAX_SHOWN = 3;

const sampleScripts = (seed: number) => fc.sample(anyScript, { seed, numRuns: SCRIPTS });

/**
 * Runs the scripts, many at once. Returns the faults and the number of streams with events of
 * more than one attempt.
 */
const runAll = async (scripts: readonly Script[]) => {
  const { runScript } = await startScriptedBox();
  const faults: string[] = [];
  let joined = 0;
  const checkScript = async (script: Script) => {
    const { answer, asked } = await runScript(script);
    if (answer.status !== 200) return;
    const fault = describeFault(script, answer);
    if (fault) faults.push(`${fault} of ${JSON.stringify({ script, asked })}`);
    if (new Set(answer.body.match(/run \d/g)).size > 1) joined += 1;
  };
  for (let at = 0; at < scripts.length; at += PARALLEL)
    await Promise.all(scripts.slice(at, at + PARALLEL).map(checkScript));
  return { faults: faults.slice(0, MAX_SHOWN), joined };
};

describe("a stream that continues at other engines", () => {
  it("is whole events of its runs, each once and in order, and ends normally only after the last", async () => {
    const { faults, joined } = await runAll(sampleScripts(1).map(dropPartialEvents));
    expect(faults).toEqual([]);
    expect(joined).toBeGreaterThan(SCRIPTS / 20);
  });
});

describe("a stream whose engines cut events and refuse it with bodies", () => {
  it("is whole events of its runs, each once and in order, and ends normally only after the last", async () => {
    const { faults, joined } = await runAll(sampleScripts(2));
    expect(faults).toEqual([]);
    expect(joined).toBeGreaterThan(SCRIPTS / 20);
  });
});
