import { describe, expect, it } from "vitest";
import type { DataHallName, Ms, ServiceName } from "@stairgauge/common";
import type { BackendServer, ServerId, ServerName } from "@stairgauge/directory";
import { createSuspects } from "./suspects.js";

const makeServer = (id: string): BackendServer => ({
  entry: {
    id: id as ServerId,
    name: id as ServerName,
    startedAt: undefined,
    service: "s" as ServiceName,
    address: { host: "10.0.0.1", port: 80 },
    dataHall: "h" as DataHallName,
    slots: 6,
    isLeaving: false,
    warmUpLeft: 0 as Ms,
  },
  leaving: undefined,
});
const servers = [makeServer("a"), makeServer("b")];
const listIds = (found: readonly BackendServer[]) => found.map(({ entry }) => entry.id);

describe("createSuspects", () => {
  it("passes a server over for a while, and gives it another try then", () => {
    const suspects = createSuspects();
    suspects.add("a" as ServerId, 0 as Ms);
    expect(listIds(suspects.passOver(servers, 999 as Ms))).toEqual(["b"]);
    expect(listIds(suspects.passOver(servers, 1_000 as Ms))).toEqual(["a", "b"]);
  });

  it("never leaves none", () => {
    const suspects = createSuspects();
    suspects.add("a" as ServerId, 0 as Ms);
    suspects.add("b" as ServerId, 0 as Ms);
    expect(listIds(suspects.passOver(servers, 10 as Ms))).toEqual(["a", "b"]);
  });

  it("passes one that breaks requests off over for twice as long each time, until it answers", () => {
    const suspects = createSuspects();
    const a = "a" as ServerId;
    const findOut = (from: number) => {
      suspects.addBreak(a, from as Ms);
      let now = from;
      while (suspects.passOver(servers, now as Ms).length < 2) now += 100;
      return now;
    };
    const times = [0];
    for (let i = 0; i < 6; i += 1) times.push(findOut(times.at(-1)!));
    expect(times.slice(1).map((time, i) => time - times[i]!)).toEqual([
      500, 1_000, 2_000, 4_000, 8_000, 8_000,
    ]);
    suspects.removeBreaks(a);
    expect(findOut(50_000)).toBe(50_500);
  });

  it("takes requests that break together for one", () => {
    const suspects = createSuspects();
    for (const now of [0, 10, 20]) suspects.addBreak("a" as ServerId, now as Ms);
    expect(listIds(suspects.passOver(servers, 500 as Ms))).toEqual(["a", "b"]);
  });

  it("holds nothing against the servers when most of them seem to break requests off", () => {
    const suspects = createSuspects();
    const many = ["a", "b", "c"].map(makeServer);
    suspects.addBreak("a" as ServerId, 0 as Ms);
    expect(listIds(suspects.passOver(many, 10 as Ms))).toEqual(["b", "c"]);
    suspects.addBreak("b" as ServerId, 0 as Ms);
    expect(listIds(suspects.passOver(many, 10 as Ms))).toEqual(["a", "b", "c"]);
  });
});
