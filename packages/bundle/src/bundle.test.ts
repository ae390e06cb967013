/** Tests the validation of bundles, the adoption of heads and the index of keys. */
import { generateKeyPairSync } from "node:crypto";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { adoptHead } from "./adoptHead.js";
import { signDigest } from "./approval.js";
import { computeDigest, renderCanonical } from "./digest.js";
import { buildKeyIndex, hashKey } from "./keys.js";
import { parseBundle } from "./parseBundle.js";
import type { Bundle, BundleHead } from "./types.js";

const TEXT = `
tiers: [{ name: gold, rank: 0 }]
models: [{ name: m, contextTokens: 1000, maxOutputTokens: 100, adapters: [a] }]
services: [{ name: s, routes: [{ method: GET, path: /x, repeatable: always }] }]
workspaces:
  - { name: w, tier: gold, keyHashes: ["${hashKey("k")}"], models: [m], adapters: [a], services: [s] }
backendServers:
  - { kind: engine, name: e, address: "127.0.0.1:1", dataHall: h, serves: [m], memoryTokens: 2000 }
  - { kind: service, name: p, address: "127.0.0.1:2", dataHall: h, serves: [s] }
`;

const findFaultPaths = (text: string) => {
  const parsed = parseBundle(text);
  return parsed.err ? parsed.val.faults.map((fault) => fault.path) : [];
};

const createOperator = (operator: string) => {
  const pair = generateKeyPairSync("ed25519", {
    publicKeyEncoding: { type: "spki", format: "pem" },
    privateKeyEncoding: { type: "pkcs8", format: "pem" },
  });
  return { operator, ...pair };
};

describe("parseBundle", () => {
  it("parses a valid bundle and fills in defaults", () => {
    const bundle = parseBundle(TEXT).val as Bundle;
    expect(bundle.workspaces[0]?.limits.concurrentStreams).toBe(64);
    expect(bundle.objectives.tailGapWeight).toBe(1);
  });

  it.each([
    [
      "a reference to a missing tier",
      TEXT.replace("tier: gold", "tier: tin"),
      "workspaces.0.tier.0",
    ],
    [
      "a reference to a missing model",
      TEXT.replace("models: [m]", "models: [x]"),
      "workspaces.0.models.0",
    ],
    [
      "a reference to a missing adapter",
      TEXT.replace("adapters: [a], ser", "adapters: [x], ser"),
      "workspaces.0.adapters.0",
    ],
    [
      "a model that no engine serves",
      TEXT.replace("serves: [m]", "serves: [s]"),
      "models.0",
    ],
    [
      "a context larger than every engine's memory",
      TEXT.replace("memoryTokens: 2000", "memoryTokens: 10"),
      "models.0.contextTokens",
    ],
    [
      "two servers with the same name",
      TEXT.replace("name: p", "name: e"),
      "backendServers.1.name",
    ],
    [
      "two servers with the same address",
      TEXT.replace("127.0.0.1:2", "127.0.0.1:1"),
      "backendServers.1.address",
    ],
    [
      "an address with a host name",
      TEXT.replace("127.0.0.1:1", "engine:1"),
      "backendServers.0.address",
    ],
    ["an unknown key", TEXT.replace("rank: 0", "rank: 0, colour: red"), "tiers.0"],
    [
      "a wrong type",
      TEXT.replace("contextTokens: 1000", "contextTokens: many"),
      "models.0.contextTokens",
    ],
    ["invalid YAML", "a: [", "(text)"],
  ])("reports %s with its path", (_what, text, path) => {
    expect(findFaultPaths(text)).toContain(path);
  });

  it("rejects random text without throwing", () => {
    const run = fc.property(fc.string(), (text) => {
      expect(parseBundle(text).ok).toBe(false);
    });
    fc.assert(run, { seed: 1, numRuns: 300 });
  });
});

describe("adoptHead", () => {
  const content = renderCanonical(parseBundle(TEXT).val as Bundle);
  const digest = computeDigest(content);
  const [ann, bob, eve] = ["ann", "bob", "eve"].map(createOperator) as [
    ReturnType<typeof createOperator>,
    ReturnType<typeof createOperator>,
    ReturnType<typeof createOperator>,
  ];
  const rules = { trusted: [ann, bob], approvalsNeeded: 1 };
  const head: BundleHead = {
    version: 3,
    digest,
    proposer: "bob",
    approvals: [signDigest({ digest, ...ann })],
  };
  const adopt = (
    change: Partial<BundleHead>,
    options: { current?: number; content?: string } = {},
  ) =>
    adoptHead({
      currentVersion: options.current ?? 2,
      head: { ...head, ...change },
      content: options.content ?? content,
      rules,
    });

  it("adopts an approved head only if its version is higher", () => {
    expect(adopt({}).ok).toBe(true);
    expect(adopt({}, { current: 3 }).val).toMatchObject({ kind: "version_not_higher" });
  });

  it.each([
    ["nobody", []],
    ["its own proposer", [signDigest({ digest, ...bob })]],
    ["an operator who is not trusted", [signDigest({ digest, ...eve })]],
    [
      "an operator who signs with another operator's name",
      [{ ...signDigest({ digest, ...eve }), operator: "ann" }],
    ],
    ["a signature for another digest", [signDigest({ digest: "0".repeat(64), ...ann })]],
    ["a malformed signature", [{ operator: "ann", signature: "!!" }]],
  ])("rejects a head approved by %s", (_who, approvals) => {
    expect(adopt({ approvals }).val).toMatchObject({
      kind: "too_few_approvals",
      valid: 0,
    });
  });

  it("counts two approvals of one operator once", () => {
    const approvals = [signDigest({ digest, ...ann }), signDigest({ digest, ...ann })];
    const twoNeeded = { ...rules, approvalsNeeded: 2 };
    const result = adoptHead({
      currentVersion: 0,
      head: { ...head, approvals },
      content,
      rules: twoNeeded,
    });
    expect(result.val).toMatchObject({ kind: "too_few_approvals", valid: 1 });
  });

  it("rejects content that does not match the digest", () => {
    const changed = content.replace("gold", "lead");
    expect(adopt({}, { content: changed }).val).toMatchObject({
      kind: "content_mismatch",
    });
  });
});

describe("buildKeyIndex", () => {
  it("finds the owner of each key and returns undefined for an unknown key", () => {
    const keys = Array.from({ length: 500 }, (_, i) => `key-${i}`);
    const index = buildKeyIndex(
      keys.map((key) => ({ keyHashes: [hashKey(key)], owner: key })),
    );
    for (const key of keys) expect(index.findOwner(key)).toBe(key);
    expect(index.findOwner("other")).toBeUndefined();
  });
});
