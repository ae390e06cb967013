import { describe, expect, it } from "vitest";
import { Err, Ok, type DataHallName, type Ms, type Result } from "@stairgauge/common";
import type { ServerEntry } from "@stairgauge/directory";
import type { ConfigurationVersion, FleetConfiguration } from "@stairgauge/routing";
import { makeRevision, type StoredRow } from "@stairgauge/storefeed";
import { makeEntry } from "./entries.testkit.js";
import { createOperatorRestoreRules, createServerRestoreRules } from "./restoreRules.js";

const makeRow = (key: string, value: unknown): StoredRow => ({
  key,
  value: Buffer.from(JSON.stringify(value)),
  revision: makeRevision(1, 1),
});
const parse = (value: Buffer) => JSON.parse(value.toString()) as Record<string, unknown>;

const decodeEntry = (name: string, value: Buffer): Result<ServerEntry, string> => {
  const { born, leaving } = parse(value) as { born?: number; leaving?: boolean };
  if (leaving === undefined) return Err("odd");
  return Ok(makeEntry(name, { startedAt: born as Ms | undefined, isLeaving: leaving }));
};

describe("createServerRestoreRules", () => {
  const rules = createServerRestoreRules({ decode: decodeEntry });
  const isUndone = (known: unknown, copied: unknown) =>
    rules.isUndone(makeRow("a", known), makeRow("a", copied));

  it.each([
    ["ready, of a server known as leaving", { leaving: true }, { leaving: false }, true],
    ["leaving, of a server known as ready", { leaving: false }, { leaving: true }, false],
    ["the same", { leaving: false }, { leaving: false }, false],
    ["an earlier start", { born: 5, leaving: false }, { born: 4, leaving: true }, true],
    ["a later start", { born: 5, leaving: true }, { born: 6, leaving: false }, false],
    ["without a start", { born: 5, leaving: false }, { leaving: false }, true],
    ["unreadable", { leaving: true }, {}, false],
    ["readable again", {}, { leaving: false }, false],
  ])(
    "decides whether a copied entry is older than the known one: %s",
    (_, known, copied, expected) => {
      expect(isUndone(known, copied)).toBe(expected);
    },
  );

  it("accepts a copied entry that had been dropped only after it would have lapsed", () => {
    const entry = makeRow("a", { leaving: false });
    expect(rules.resolveDropped(entry)).toEqual({ kind: "take_after", duration: 6_000 });
  });
});

describe("createOperatorRestoreRules", () => {
  const rules = createOperatorRestoreRules({
    key: "config",
    decode: (value) => {
      const { version } = parse(value);
      return version === undefined
        ? Err("odd")
        : Ok({ version: version as ConfigurationVersion } as FleetConfiguration);
    },
    decodeHall: (key) =>
      key.startsWith("closed/") ? (key.slice(7) as DataHallName) : undefined,
  });

  it("keeps the known configuration if the copied one has a lower version", () => {
    const known = makeRow("config", { version: 57 });
    expect(rules.isUndone(known, makeRow("config", { version: 53 }))).toBe(true);
    expect(rules.isUndone(known, makeRow("config", { version: 57 }))).toBe(false);
    expect(rules.isUndone(known, makeRow("config", { version: 58 }))).toBe(false);
    expect(rules.isUndone(known, makeRow("config", {}))).toBe(false);
    expect(rules.resolveMissing(known)).toEqual({ kind: "keep" });
  });

  it("keeps halls with a missing row closed for a while, and closes opened halls until their row is removed again", () => {
    const closing = makeRow("closed/a", {});
    expect(rules.isUndone(closing, closing)).toBe(false);
    expect(rules.resolveMissing(closing)).toEqual({ kind: "keep_for", duration: 10_000 });
    expect(rules.resolveDropped(closing)).toEqual({ kind: "take" });
    expect(rules.resolveMissing(makeRow("other", {}))).toEqual({ kind: "drop" });
  });
});
