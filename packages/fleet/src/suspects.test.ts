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
  it("skips an unreachable server for a while, then tries it again", () => {
    const suspects = createSuspects();
    suspects.add("a" as ServerId, 0 as Ms);
    expect(listIds(suspects.filter(servers, 999 as Ms))).toEqual(["b"]);
    expect(listIds(suspects.filter(servers, 1_000 as Ms))).toEqual(["a", "b"]);
  });

  it("returns all servers if all are suspect", () => {
    const suspects = createSuspects();
    suspects.add("a" as ServerId, 0 as Ms);
    suspects.add("b" as ServerId, 0 as Ms);
    expect(listIds(suspects.filter(servers, 10 as Ms))).toEqual(["a", "b"]);
  });

  it("skips a server that breaks requests off for twice as long each time, until it answers", () => {
    const suspects = createSuspects();
    const a = "a" as ServerId;
    const measureSkipEnd = (from: number) => {
      suspects.addBreak(a, from as Ms);
      let now = from;
      while (suspects.filter(servers, now as Ms).length < 2) now += 100;
      return now;
    };
    const times = [0];
    for (let i = 0; i < 6; i += 1) times.push(measureSkipEnd(times.at(-1)!));
    expect(times.slice(1).map((time, i) => time - times[i]!)).toEqual([
      500, 1_000, 2_000, 4_000, 8_000, 8_000,
    ]);
    suspects.removeBreaks(a);
    expect(measureSkipEnd(50_000)).toBe(50_500);
  });

  it("counts requests that break together as one break", () => {
    const suspects = createSuspects();
    for (const now of [0, 10, 20]) suspects.addBreak("a" as ServerId, now as Ms);
    expect(listIds(suspects.filter(servers, 500 as Ms))).toEqual(["a", "b"]);
  });

  it("skips no server when most of them break requests off", () => {
    const suspects = createSuspects();
    const many = ["a", "b", "c"].map(makeServer);
    suspects.addBreak("a" as ServerId, 0 as Ms);
    expect(listIds(suspects.filter(many, 10 as Ms))).toEqual(["b", "c"]);
    suspects.addBreak("b" as ServerId, 0 as Ms);
    expect(listIds(suspects.filter(many, 10 as Ms))).toEqual(["a", "b", "c"]);
  });
});
