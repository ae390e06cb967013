import { describe, expect, it } from "vitest";
import type { DataHallName, Ms, ServiceName } from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import { createSuspects } from "./suspects.js";

const makeServer = (id: string): BackendServer => ({
  entry: {
    id: id as ServerId,
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
});
