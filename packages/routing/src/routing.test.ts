import { describe, expect, it } from "vitest";
import type { Ms, ServiceName, WorkspaceName } from "@stairgauge/common";
import {
  computeTimeLimit,
  createConfigurationHolder,
  decideAccess,
  indexConfiguration,
  type ConfigurationVersion,
  type FleetConfiguration,
  type Route,
  type RouteName,
} from "./index.js";

const makeRoute = (pathPrefix: string, changes: Partial<Route> = {}): Route => ({
  name: `route ${pathPrefix}` as RouteName,
  host: "a.example",
  pathPrefix,
  kind: "once",
  isResumable: false,
  isKeyless: false,
  answerLimit: 600 as Ms,
  firstAnswerAim: 100 as Ms,
  pauseAim: undefined,
  maxServers: 1,
  tier: 1,
  shares: [{ service: "s" as ServiceName, weight: 1 }],
  ...changes,
});

const makeConfiguration = (
  version: number,
  changes: Partial<FleetConfiguration> = {},
): FleetConfiguration => ({
  version: version as ConfigurationVersion,
  routes: [
    makeRoute("/a/"),
    makeRoute("/a/b/"),
    makeRoute("/open/", { isKeyless: true }),
  ],
  services: [],
  limits: {
    headerBytes: 16_384,
    bodyBytes: 4_096,
    headerTime: 3_000 as Ms,
    idleTime: 15_000 as Ms,
  },
  workspaces: [{ name: "w" as WorkspaceName, keys: ["k1", "k2"], tier: undefined }],
  ...changes,
});

const toMs = (time: number) => time as Ms;
const makeHolder = () =>
  createConfigurationHolder({ denyWithin: toMs(2_000), acceptWithin: toMs(4_700) });

describe("indexConfiguration", () => {
  const index = indexConfiguration(makeConfiguration(1));

  it.each([
    ["/a/x", "/a/"],
    ["/a/b/x?q=/a/", "/a/b/"],
    ["/a/b", "/a/"],
    ["/a/b/", "/a/b/"],
  ])("finds the route of %s by the longest prefix", (path, prefix) => {
    expect(index.findRoute("A.example:80", path)?.pathPrefix).toBe(prefix);
  });

  it.each([
    ["a.example", "/"],
    ["a.example", "/ab/"],
    ["b.example", "/a/"],
    ["a.example", "/x?/a/"],
  ])("finds no route for %s%s", (host, path) => {
    expect(index.findRoute(host, path)).toBeUndefined();
  });
});

describe("createConfigurationHolder", () => {
  it("rejects an older version, which confirms nothing", () => {
    const holder = makeHolder();
    expect(holder.adopt(makeConfiguration(7), toMs(100)).kind).toBe("adopted");
    expect(holder.adopt(makeConfiguration(6), toMs(900))).toEqual({
      kind: "older",
      version: 6,
      inForce: 7,
    });
    expect(holder.getIndex()?.configuration.version).toBe(7);
    expect(holder.getAge(toMs(1_000))).toBe(900);
    expect(holder.adopt(makeConfiguration(7), toMs(950)).kind).toBe("known");
    expect(holder.getAge(toMs(1_000))).toBe(50);
  });

  it("counts its age from the latest confirmation, even if an older one arrives afterwards", () => {
    const holder = makeHolder();
    expect(holder.getFreshness(toMs(0))).toBe("unknown");
    holder.adopt(makeConfiguration(1), toMs(0));
    holder.confirm(toMs(-500));
    expect(holder.getFreshness(toMs(2_000))).toBe("current");
    expect(holder.getFreshness(toMs(2_001))).toBe("ageing");
    expect(holder.getFreshness(toMs(4_701))).toBe("expired");
    holder.confirm(toMs(4_000));
    expect(holder.getFreshness(toMs(4_701))).toBe("current");
  });
});

describe("decideAccess", () => {
  const index = indexConfiguration(makeConfiguration(1));
  const makeRequest = (path: string, key?: string) => ({ host: "a.example", path, key });

  it("refuses with no_configuration if none has been read", () => {
    expect(decideAccess(undefined, "unknown", makeRequest("/a/", "k1"))).toEqual({
      kind: "refused",
      reason: "no_configuration",
    });
  });

  it.each([
    ["/a/", "k1", "current", "admitted"],
    ["/a/", "k1", "ageing", "admitted"],
    ["/a/", "k1", "expired", "knowledge_too_old"],
    ["/open/", undefined, "expired", "admitted"],
    ["/a/", undefined, "current", "key_missing"],
    ["/a/", "new", "current", "key_unknown"],
    ["/a/", "new", "ageing", "knowledge_too_old"],
    ["/new/", "k1", "current", "no_such_route"],
    ["/new/", "k1", "ageing", "knowledge_too_old"],
  ] as const)(
    "decides on %s with key %s while %s: %s",
    (path, key, freshness, expected) => {
      const decision = decideAccess(index, freshness, makeRequest(path, key));
      expect(decision.kind === "admitted" ? "admitted" : decision.reason).toBe(expected);
    },
  );

  it("returns the workspace that has the key", () => {
    const decision = decideAccess(index, "current", makeRequest("/a/", "k2"));
    expect(decision).toMatchObject({ kind: "admitted", workspace: { name: "w" } });
  });
});

describe("computeTimeLimit", () => {
  it("returns the shorter one of the route's limit and the client's", () => {
    expect(computeTimeLimit(makeRoute("/a/"), toMs(200))).toBe(200);
    expect(computeTimeLimit(makeRoute("/a/"), toMs(9_000))).toBe(600);
    expect(computeTimeLimit(makeRoute("/a/"), undefined)).toBe(600);
  });
});
