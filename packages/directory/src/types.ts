/** Backend servers as a box knows them. */
import type {
  Brand,
  DataHallName,
  HostAndPort,
  Ms,
  ServiceName,
} from "@stairgauge/common";

/** Identity of one start of a backend server; a restart has another. */
export type ServerId = Brand<string, "ServerId">;

/** Where a server listens, by IP number. */
export type ServerAddress = HostAndPort;

/** What a server's own entry says. */
export type ServerEntry = Readonly<{
  id: ServerId;
  service: ServiceName;
  address: ServerAddress;
  dataHall: DataHallName;
  /** Requests that it works on at once. */
  slots: number;
  isLeaving: boolean;
  /** How much longer it stays slow from its start, when the entry was written. */
  warmUpLeft: Ms;
}>;

/** Why a server gets no new work. */
export type LeavingReason =
  "entry_says_leaving" | "entry_gone" | "report" | "address_reused" | "told_by_box";

/** A server and what the box believes of it. */
export type BackendServer = Readonly<{
  entry: ServerEntry;
  /** Set once it gets no new work. */
  leaving: Readonly<{ reason: LeavingReason; since: Ms }> | undefined;
}>;
