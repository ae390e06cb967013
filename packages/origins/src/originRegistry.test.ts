/** Guards against origins that outlive their streams, grow without bound, or are wrong because two streams share an id. */
import { describe, expect, it } from "vitest";
import type { Ms, ServiceName } from "@stairgauge/common";
import type { SoftwareVersion } from "@stairgauge/directory";
import { hashStreamKey } from "./hashStreamKey.js";
import { createOriginRegistry } from "./originRegistry.js";

const makeKey = (requestId: string) =>
  hashStreamKey({ host: "h", caller: "site", requestId });

const makeOrigin = (requestId: string, version = "v1", left = 100) => ({
  key: makeKey(requestId),
  binding: {
    service: "writers" as ServiceName,
    softwareVersion: version as SoftwareVersion,
  },
  left: left as Ms,
});

const toMs = (now: number) => now as Ms;

describe("createOriginRegistry", () => {
  it("finds an origin until its time is over", () => {
    const registry = createOriginRegistry();
    registry.put(makeOrigin("a"), toMs(0), true);
    expect(registry.find(makeKey("a"), toMs(99))).toMatchObject({ left: 1 });
    expect(registry.find(makeKey("a"), toMs(100))).toBeUndefined();
  });

  it("takes a later time, shorter or longer, from the newest record", () => {
    const registry = createOriginRegistry();
    registry.put(makeOrigin("a"), toMs(0), true);
    registry.put(makeOrigin("a", "v1", 500), toMs(50), false);
    expect(registry.find(makeKey("a"), toMs(300))).toBeDefined();
    registry.put(makeOrigin("a", "v1", 10), toMs(300), false);
    expect(registry.find(makeKey("a"), toMs(320))).toBeUndefined();
  });

  it("is not certain of a version if two streams with the same id began at different ones", () => {
    const registry = createOriginRegistry();
    registry.put(makeOrigin("a", "v1"), toMs(0), true);
    registry.put(makeOrigin("a", "v1.2"), toMs(1), false);
    registry.put(makeOrigin("a", "v1.2"), toMs(2), false);
    const found = registry.find(makeKey("a"), toMs(3));
    expect(found?.binding.softwareVersion).toBeUndefined();
  });

  it("lists the streams of this box only, and those that count", () => {
    const registry = createOriginRegistry();
    registry.put(makeOrigin("own"), toMs(0), true);
    registry.put(makeOrigin("over", "v1", 10), toMs(0), true);
    registry.put(makeOrigin("other"), toMs(0), false);
    expect(registry.listOwn(toMs(20)).map(({ key }) => key)).toEqual([makeKey("own")]);
  });

  it("drops the oldest beyond its bound", () => {
    const registry = createOriginRegistry(2);
    for (const id of ["a", "b", "c"]) registry.put(makeOrigin(id), toMs(0), false);
    expect(registry.count()).toBe(2);
    expect(registry.find(makeKey("a"), toMs(1))).toBeUndefined();
    expect(registry.find(makeKey("c"), toMs(1))).toBeDefined();
  });
});

describe("hashStreamKey", () => {
  it("differs by caller, so that another workspace finds nothing", () => {
    const keys = ["site", "other", undefined].map((caller) =>
      hashStreamKey({ host: "h", caller, requestId: "a" }),
    );
    expect(new Set(keys).size).toBe(3);
    expect(keys[0]).toBe(makeKey("a"));
  });
});
