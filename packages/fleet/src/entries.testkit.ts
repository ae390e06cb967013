/** Server entries for tests. */
import type { DataHallName, Ms, ServiceName } from "@stairgauge/common";
import type { ServerEntry, ServerId, ServerName } from "@stairgauge/directory";

export const SERVICE = "writers" as ServiceName;

/** Makes the entry of a ready server without a start time, with the given changes. */
export const makeEntry = (
  name: string,
  changes: Partial<ServerEntry> = {},
): ServerEntry => ({
  id: name as ServerId,
  name: name as ServerName,
  startedAt: undefined,
  service: SERVICE,
  address: { host: "10.0.0.1", port: 80 },
  dataHall: "h" as DataHallName,
  slots: 6,
  isLeaving: false,
  warmUpLeft: 0 as Ms,
  ...changes,
});
