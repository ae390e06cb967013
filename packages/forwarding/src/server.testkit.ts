/** Backend servers for tests. */
import type { DataHallName, Ms, ServiceName } from "@stairgauge/common";
import type { BackendServer, ServerId, ServerName } from "@stairgauge/directory";

/** Creates an engine that is not leaving. */
export const makeServer = (id: string): BackendServer => ({
  entry: {
    id: id as ServerId,
    name: id as ServerName,
    startedAt: undefined,
    service: "writers" as ServiceName,
    address: { host: "127.0.0.1", port: 1 },
    dataHall: "hall-a" as DataHallName,
    slots: 48,
    isLeaving: false,
    warmUpLeft: 0 as Ms,
  },
  leaving: undefined,
});
