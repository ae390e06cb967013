/** Which servers count as cold: their own word for it comes late, so whatever starts or comes back counts until it says otherwise. */
import { describe, expect, it } from "vitest";
import {
  createVirtualClock,
  type DataHallName,
  type Ms,
  type ServiceName,
} from "@stairgauge/common";
import type { BackendServer, ServerId, ServerName } from "@stairgauge/directory";
import { createColdPeriods } from "./coldPeriods.js";

const makeServer = (id: string, hall = "a", warmUpLeft = 0): BackendServer => ({
  entry: {
    id: id as ServerId,
    name: id as ServerName,
    startedAt: undefined,
    service: "writers" as ServiceName,
    address: { host: "10.0.0.1", port: 80 },
    dataHall: hall as DataHallName,
    slots: 4,
    isLeaving: false,
    warmUpLeft: warmUpLeft as Ms,
  },
  leaving: undefined,
});

const setUp = (duration: number | undefined = 1_000) => {
  const clock = createVirtualClock();
  const servers: BackendServer[] = [];
  const spells = createColdPeriods({
    clock,
    findWarmUp: () =>
      duration === undefined ? undefined : { duration: duration as Ms, perSecond: 20 },
    listServers: () => servers,
  });
  const join = (server: BackendServer) => {
    servers.push(server);
    spells.onJoined(server.entry);
    spells.onEntry(server.entry);
  };
  const isCold = (id: string) => spells.mayBeCold(id as ServerId);
  return {
    clock,
    spells,
    join,
    isCold,
    advance: (time: number) => clock.advance(time as Ms),
  };
};

describe("createColdPeriods", () => {
  it("takes the first list as it is: those servers have run for long, unless they say otherwise", () => {
    const { spells, join, isCold, advance } = setUp();
    join(makeServer("warm"));
    join(makeServer("cold", "a", 700));
    spells.onListRead();
    expect([isCold("warm"), isCold("cold")]).toEqual([false, true]);
    advance(699);
    expect(isCold("cold")).toBe(true);
    advance(1);
    expect(isCold("cold")).toBe(false);
  });

  it("counts a server that comes later as cold for as long as its service warms up, though its entry says no such thing", () => {
    const { spells, join, isCold, advance } = setUp();
    spells.onListRead();
    join(makeServer("new"));
    advance(999);
    expect(isCold("new")).toBe(true);
    advance(1);
    expect(isCold("new")).toBe(false);
  });

  it("counts a server that has turned cold as its entry says, also beyond the time of its service", () => {
    const { spells, join, isCold, advance } = setUp();
    join(makeServer("e"));
    spells.onListRead();
    spells.onEntry(makeServer("e", "a", 5_000).entry);
    advance(4_999);
    expect(isCold("e")).toBe(true);
    advance(1);
    expect(isCold("e")).toBe(false);
  });

  it("counts all servers of a data hall as cold that is opened again, and no others", () => {
    const { spells, join, isCold } = setUp();
    join(makeServer("in", "a"));
    join(makeServer("out", "b"));
    spells.onListRead();
    spells.onHallOpened("a" as DataHallName);
    expect([isCold("in"), isCold("out")]).toEqual([true, false]);
  });

  it("counts a server that could not be reached as cold until it could have come back and warmed up", () => {
    const { spells, join, isCold, advance } = setUp();
    join(makeServer("e"));
    spells.onListRead();
    spells.onUnreachable(makeServer("e").entry);
    advance(1_999);
    expect(isCold("e")).toBe(true);
    advance(1);
    expect(isCold("e")).toBe(false);
    spells.onUnreachable(makeServer("e").entry);
    spells.forget("e" as ServerId);
    expect(isCold("e")).toBe(false);
  });

  it("knows no cold server where services bear all that they can from their start on", () => {
    const clock = createVirtualClock();
    const spells = createColdPeriods({
      clock,
      findWarmUp: () => undefined,
      listServers: () => [],
    });
    spells.onListRead();
    spells.onJoined(makeServer("e").entry);
    spells.onEntry(makeServer("e", "a", 5_000).entry);
    spells.onUnreachable(makeServer("e").entry);
    expect(spells.mayBeCold("e" as ServerId)).toBe(false);
  });
});
