/** Any process may write a row of the table of boxes. An unusable row must affect nothing but itself. */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { BoxName, DataHallName, Ms } from "@stairgauge/common";
import { makeRevision } from "@stairgauge/storefeed";
import { createMemberSink, decodeMember, encodeMember } from "./memberSink.js";
import type { Peer } from "./types.js";

const PEER: Peer = {
  box: "box-1" as BoxName,
  address: { host: "10.0.0.1", port: 8_180 },
  capacity: 94.5,
  dataHall: "hall-a" as DataHallName,
};
const encode = (value: unknown) => Buffer.from(JSON.stringify(value));

describe("decodeMember", () => {
  it("decodes the row that a box has encoded", () => {
    expect(decodeMember("box-1", encodeMember(PEER)).unwrap()).toEqual(PEER);
  });

  it.each([
    { host: "host", port: 80 },
    { host: "10.0.0.256", port: 80 },
    { host: "10.0.0.1", port: 0 },
    { host: "10.0.0.1", port: 70_000 },
    { host: "10.0.0.1", port: 80, capacity: 0 },
    { host: "10.0.0.1", port: 80, hall: 7 },
    { port: 80 },
    [],
  ])("rejects %j", (value) => {
    expect(decodeMember("box-1", encode(value)).err).toBe(true);
  });

  it("returns a typed failure for invalid bytes, and never throws (property)", () => {
    fc.assert(
      fc.property(
        fc.oneof(
          fc.uint8Array().map((part) => Buffer.from(part)),
          fc.jsonValue().map(encode),
        ),
        (bytes) => {
          const decoded = decodeMember("box-1", bytes);
          if (decoded.err) expect(decoded.val.kind).toBe("unreadable_member");
          else expect(decoded.val.address.port).toBeLessThanOrEqual(65_535);
        },
      ),
      { seed: 9, numRuns: 300 },
    );
  });
});

describe("a box whose row can't be read any more", () => {
  it.each(["onWhole", "onChanges"] as const)("stays a member (%s)", (how) => {
    const members: string[][] = [];
    const sink = createMemberSink({
      onMembers: (all) => members.push(all.map(({ box }) => box)),
      onUnreadable: () => undefined,
    });
    const revision = makeRevision(1, 1);
    const row = { key: "box-1", value: encodeMember(PEER), revision };
    const odd = { ...row, value: Buffer.of() };
    sink.onWhole([row], 0 as Ms, revision);
    if (how === "onWhole") sink.onWhole([odd], 0 as Ms, revision);
    else sink.onChanges([{ kind: "put", row: odd }], 0 as Ms, revision);
    expect(members).toEqual([["box-1"], ["box-1"]]);
  });
});
