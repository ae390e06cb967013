/**
 * A client got a stream that ended as complete after an event that no run had made. Every way in which a stream goes on
 * at another engine is played here, drawn at random with seeds that stay the same: answers in chunks, with a length or
 * ending with their connection, cut at any byte, in pieces of any size, ended in order or reset, refused or silent, for
 * clients that begin at the first event and for those that ask behind one they have.
 */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  anyScript,
  describeFault,
  dropHalves,
  startScriptedBox,
  type Script,
} from "./joins.testkit.js";

const SCRIPTS = 800;
const AT_ONCE = 150;

/** Faults that are shown; one tells enough. */
const MAX_SHOWN = 3;

const sampleScripts = (seed: number) => fc.sample(anyScript, { seed, numRuns: SCRIPTS });

/** Runs the scripts, many at once; gives what was wrong, and how many streams were made by more than one run. */
const runAll = async (scripts: readonly Script[]) => {
  const { runScript } = await startScriptedBox();
  const faults: string[] = [];
  let joined = 0;
  const judge = async (script: Script) => {
    const { answer, asked } = await runScript(script);
    if (answer.status !== 200) return;
    const fault = describeFault(script, answer);
    if (fault) faults.push(`${fault} of ${JSON.stringify({ script, asked })}`);
    if (new Set(answer.body.match(/run \d/g)).size > 1) joined += 1;
  };
  for (let at = 0; at < scripts.length; at += AT_ONCE)
    await Promise.all(scripts.slice(at, at + AT_ONCE).map(judge));
  return { faults: faults.slice(0, MAX_SHOWN), joined };
};

describe("a stream that goes on at other engines", () => {
  it("is whole events of its runs, each once and in order, and ends in order only behind the last", async () => {
    const { faults, joined } = await runAll(sampleScripts(1).map(dropHalves));
    expect(faults).toEqual([]);
    expect(joined).toBeGreaterThan(SCRIPTS / 20);
  });
});

describe("a stream whose engines leave halves of events and refuse it with bodies", () => {
  it("is whole events of its runs, each once and in order, and ends in order only behind the last", async () => {
    const { faults, joined } = await runAll(sampleScripts(2));
    expect(faults).toEqual([]);
    expect(joined).toBeGreaterThan(SCRIPTS / 20);
  });
});
