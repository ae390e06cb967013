/** Guards against a record that grows without bound, or that clears a part for ever. */
import { describe, expect, it } from "vitest";
import type { Ms, ServiceName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { createHarmlessParts } from "./harmlessParts.js";
import { hashPart, listSuspects } from "./suspects.js";

const SERVICE = "writers" as ServiceName;
const PART = hashPart(SERVICE, "a1");
const HOUR_MS = 3_600_000;

const toServer = (name: string) => name as ServerId;
const toMs = (now: number) => now as Ms;

describe("createHarmlessParts", () => {
  it("knows what each start of a server has survived", () => {
    const parts = createHarmlessParts();
    parts.add(toServer("s 1"), PART, toMs(0));
    expect(parts.has(toServer("s 1"), PART)).toBe(true);
    expect(parts.has(toServer("s 2"), PART)).toBe(false);
    expect(parts.isProven(PART, toMs(HOUR_MS - 1))).toBe(true);
    expect(parts.isProven(PART, toMs(HOUR_MS))).toBe(false);
  });

  it("drops the parts of a server that were survived the longest ago", () => {
    const parts = createHarmlessParts();
    const server = toServer("s");
    for (let i = 0; i < 256; i += 1)
      parts.add(server, hashPart(SERVICE, `p${i}`), toMs(i));
    parts.add(server, hashPart(SERVICE, "p0"), toMs(300));
    parts.add(server, PART, toMs(301));
    expect(parts.has(server, hashPart(SERVICE, "p0"))).toBe(true);
    expect(parts.has(server, hashPart(SERVICE, "p1"))).toBe(false);
  });
});

describe("listSuspects", () => {
  const content = {
    host: "h",
    target: "/a",
    caller: "w",
    body: Buffer.from("b"),
    service: SERVICE,
  };

  it("lists the request and each of its parts but the last, once", () => {
    const suspects = listSuspects({ ...content, parts: ["a1", "b2", "a1", "own"] });
    expect(suspects.map((one) => (one.kind === "prompt_part" ? one.part : "*"))).toEqual([
      "*",
      "a1",
      "b2",
    ]);
  });

  it("lists a part alike for all callers, and apart for each service", () => {
    const [, part] = listSuspects({ ...content, parts: ["a1", "own"] });
    const [, other] = listSuspects({ ...content, caller: "x", parts: ["a1", "own"] });
    expect(other).toEqual(part);
    expect(part?.digest).toBe(PART);
    expect(hashPart("others" as ServiceName, "a1")).not.toBe(PART);
  });

  it("lists a bounded number of parts", () => {
    const parts = Array.from({ length: 500 }, (_, i) => String(i));
    expect(listSuspects({ ...content, parts })).toHaveLength(33);
  });
});
