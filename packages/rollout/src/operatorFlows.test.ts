/** Tests the operators' steps: approvals, concurrent roll-outs, lost answers and store outages. */
import { generateKeyPairSync } from "node:crypto";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createSeededRandom, createVirtualClock, type Ms } from "@stairgauge/common";
import {
  buildExampleBundle,
  createMemoryPlatform,
  createPlatformModel,
} from "@stairgauge/standins";
import { createHeadWatcher } from "./headWatcher.js";
import { createOperatorFlows, type Operator } from "./operatorFlows.js";

const createOperator = (name: string): Operator & { readonly publicKey: string } => {
  const pair = generateKeyPairSync("ed25519", {
    publicKeyEncoding: { type: "spki", format: "pem" },
    privateKeyEncoding: { type: "pkcs8", format: "pem" },
  });
  return { name, ...pair };
};

const OPERATORS = ["ann", "bob", "cy"].map(createOperator);
const [ANN, BOB] = OPERATORS as unknown as [Operator, Operator];
const EVE = createOperator("eve");

const buildBundle = (variant: number) => {
  const bundle = buildExampleBundle({
    engines: ["127.0.0.1:1"],
    services: ["127.0.0.1:2"],
  });
  return { ...bundle, objectives: { ...bundle.objectives, stallWeight: variant } };
};

const createBench = (approvalsNeeded = 1) => {
  const clock = createVirtualClock(1_000 as Ms);
  const model = createPlatformModel();
  const platform = createMemoryPlatform(model, clock);
  const trusted = OPERATORS.map(({ name, publicKey }) => ({ operator: name, publicKey }));
  const rules = { trusted, approvalsNeeded };
  const createFlows = (seed: number) =>
    createOperatorFlows({ platform, clock, random: createSeededRandom(seed), rules });
  return { clock, model, platform, rules, createFlows, flows: createFlows(1) };
};

/** Proposes a bundle as Ann and approves it as Bob; returns its digest. */
const prepareApproved = async (
  bench: ReturnType<typeof createBench>,
  variant: number,
) => {
  const proposed = await bench.flows.propose(buildBundle(variant), ANN.name);
  if (proposed.err) throw new Error(proposed.val.kind);
  await bench.flows.approve(proposed.val.digest, BOB);
  return proposed.val.digest;
};

describe("createOperatorFlows", () => {
  it("rolls out a bundle only after another trusted operator has approved it", async () => {
    const bench = createBench();
    const proposed = await bench.flows.propose(buildBundle(1), ANN.name);
    const digest = proposed.ok ? proposed.val.digest : "";
    expect((await bench.flows.rollOut(digest, ANN.name)).val).toMatchObject({
      kind: "too_few_approvals",
      valid: 0,
    });
    expect((await bench.flows.approve(digest, ANN)).val).toMatchObject({
      kind: "own_proposal",
    });
    expect((await bench.flows.approve(digest, EVE)).val).toMatchObject({
      kind: "unknown_operator",
    });
    expect((await bench.flows.approve(digest, BOB)).ok).toBe(true);
    expect((await bench.flows.rollOut(digest, ANN.name)).val).toMatchObject({
      version: 1,
    });
    const versions: number[] = [];
    const watcher = createHeadWatcher({
      ...bench,
      interval: 1 as Ms,
      onAdopted: ({ head }) => versions.push(head.version),
      onFailure: () => undefined,
    });
    await watcher.checkHead();
    expect(versions).toEqual([1]);
  });

  it("rolls out older content as a new version and keeps the earlier versions", async () => {
    const bench = createBench();
    const [first, second] = [
      await prepareApproved(bench, 1),
      await prepareApproved(bench, 2),
    ];
    for (const digest of [first, second, first])
      await bench.flows.rollOut(digest, ANN.name);
    const head = (await bench.flows.readHead()).val;
    expect(head).toMatchObject({ version: 3, digest: first });
    expect((head as { past: readonly object[] }).past).toMatchObject([
      { version: 2, digest: second, by: "ann" },
      { version: 1, digest: first },
    ]);
  });

  it("names the winner to the loser of two concurrent roll-outs", async () => {
    const bench = createBench();
    const [first, second] = [
      await prepareApproved(bench, 1),
      await prepareApproved(bench, 2),
    ];
    const [a, b] = await Promise.all([
      bench.createFlows(2).rollOut(first, "ann"),
      bench.createFlows(3).rollOut(second, "bob"),
    ]);
    expect([a.ok, b.ok].filter(Boolean)).toHaveLength(1);
    const loser = a.ok ? b : a;
    expect(loser.val).toMatchObject({
      kind: "overtaken",
      version: 1,
      by: a.ok ? "ann" : "bob",
    });
  });

  it("refuses content that does not match its digest, and digests that were never proposed", async () => {
    const bench = createBench();
    const digest = await prepareApproved(bench, 1);
    bench.model.writeObject(`bundle-${digest}`, "{}");
    expect((await bench.flows.rollOut(digest, "ann")).val).toMatchObject({
      kind: "content_changed",
    });
    const unknown = "0".repeat(64);
    expect((await bench.flows.approve(unknown, BOB)).val).toMatchObject({
      kind: "unknown_digest",
    });
  });

  it("gives each successful roll-out its own version under concurrent roll-outs and lost answers", async () => {
    const step = fc.record({
      operator: fc.nat(1),
      variant: fc.nat(2),
      lose: fc.nat(2),
      isDown: fc.constantFrom(false, false, false, true),
      isTogether: fc.boolean(),
    });
    const run = fc.asyncProperty(fc.array(step, { maxLength: 10 }), async (steps) => {
      const bench = createBench();
      const digests = [];
      for (const variant of [0, 1, 2])
        digests.push(await prepareApproved(bench, variant));
      const successes: { readonly version: number; readonly digest: string }[] = [];
      let running: Promise<void>[] = [];
      for (const [
        i,
        { operator, variant, lose, isDown, isTogether },
      ] of steps.entries()) {
        bench.model.setMode({ answersToLose: lose, isDown });
        const flows = bench.createFlows(i + 10);
        const rolled = flows.rollOut(digests[variant]!, OPERATORS[operator]!.name);
        running.push(
          rolled.then((result) => {
            if (result.ok)
              successes.push({ version: result.val.version, digest: result.val.digest });
          }),
        );
        if (isTogether) continue;
        await Promise.all(running);
        running = [];
      }
      await Promise.all(running);
      bench.model.setMode({ answersToLose: 0, isDown: false });
      const head = (await bench.flows.readHead()).val;
      const versions = successes.map(({ version }) => version);
      expect(new Set(versions).size).toBe(versions.length);
      if (head === undefined || !("past" in head)) {
        expect(successes).toEqual([]);
        return;
      }
      const all = [head, ...head.past];
      for (const { version, digest } of successes) {
        expect(all.find((one) => one.version === version)?.digest).toBe(digest);
      }
    });
    await fc.assert(run, { seed: 17, numRuns: 300 });
  });
});
