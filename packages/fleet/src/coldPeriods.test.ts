/**
 * Servers announce late that they are cold, so a server that starts or comes back counts as cold
 * until its warm-up time has passed.
 */
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
  const coldPeriods = createColdPeriods({
    clock,
    findWarmUp: () =>
      duration === undefined ? undefined : { duration: duration as Ms, perSecond: 20 },
    listServers: () => servers,
  });
  const join = (server: BackendServer) => {
    servers.push(server);
    coldPeriods.onJoined(server.entry);
    coldPeriods.onEntry(server.entry);
  };
  const isCold = (id: string) => coldPeriods.mayBeCold(id as ServerId);
  return {
    clock,
    coldPeriods,
    join,
    isCold,
    advance: (time: number) => clock.advance(time as Ms),
  };
};

describe("createColdPeriods", () => {
  it("counts servers of the first list as warm unless their entries say otherwise", () => {
    const { coldPeriods, join, isCold, advance } = setUp();
    join(makeServer("warm"));
    join(makeServer("cold", "a", 700));
    coldPeriods.onListRead();
    expect([isCold("warm"), isCold("cold")]).toEqual([false, true]);
    advance(699);
    expect(isCold("cold")).toBe(true);
    advance(1);
    expect(isCold("cold")).toBe(false);
  });

  it("counts a server that joins later as cold for its service's warm-up time, even if its entry doesn't say so", () => {
    const { coldPeriods, join, isCold, advance } = setUp();
    coldPeriods.onListRead();
    join(makeServer("new"));
    advance(999);
    expect(isCold("new")).toBe(true);
    advance(1);
    expect(isCold("new")).toBe(false);
  });

  it("counts a server as cold for as long as its entry says, even beyond its service's warm-up time", () => {
    const { coldPeriods, join, isCold, advance } = setUp();
    join(makeServer("e"));
    coldPeriods.onListRead();
    coldPeriods.onEntry(makeServer("e", "a", 5_000).entry);
    advance(4_999);
    expect(isCold("e")).toBe(true);
    advance(1);
    expect(isCold("e")).toBe(false);
  });

  it("counts all servers of a data hall as cold when it is opened again, and no others", () => {
    const { coldPeriods, join, isCold } = setUp();
    join(makeServer("in", "a"));
    join(makeServer("out", "b"));
    coldPeriods.onListRead();
    coldPeriods.onHallOpened("a" as DataHallName);
    expect([isCold("in"), isCold("out")]).toEqual([true, false]);
  });

  it("counts an unreachable server as cold until it could have come back and warmed up", () => {
    const { coldPeriods, join, isCold, advance } = setUp();
    join(makeServer("e"));
    coldPeriods.onListRead();
    coldPeriods.onUnreachable(makeServer("e").entry);
    advance(1_999);
    expect(isCold("e")).toBe(true);
    advance(1);
    expect(isCold("e")).toBe(false);
    coldPeriods.onUnreachable(makeServer("e").entry);
    coldPeriods.forget("e" as ServerId);
    expect(isCold("e")).toBe(false);
  });

  it("counts no server as cold if its service needs no warm-up", () => {
    const clock = createVirtualClock();
    const coldPeriods = createColdPeriods({
      clock,
      findWarmUp: () => undefined,
      listServers: () => [],
    });
    coldPeriods.onListRead();
    coldPeriods.onJoined(makeServer("e").entry);
    coldPeriods.onEntry(makeServer("e", "a", 5_000).entry);
    coldPeriods.onUnreachable(makeServer("e").entry);
    expect(coldPeriods.mayBeCold("e" as ServerId)).toBe(false);
  });
});
