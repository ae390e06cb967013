/** Backend servers as a box knows them. */
import type {
  Brand,
  DataHallName,
  HostAndPort,
  Ms,
  ServiceName,
} from "@stairgauge/common";

/** Identity of one start of a backend server; a restart has another, under the same name or a new one. */
export type ServerId = Brand<string, "ServerId">;

/** Name under which a server is listed, and by which it knows itself. */
export type ServerName = Brand<string, "ServerName">;

/** Where a server listens, by IP number. */
export type ServerAddress = HostAndPort;

/** What a server's own entry says. */
export type ServerEntry = Readonly<{
  id: ServerId;
  name: ServerName;
  /** Time of day of its start, as it says itself; a server that started earlier under the same name is gone. */
  startedAt: Ms | undefined;
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
  | "entry_says_leaving"
  | "entry_gone"
  | "report"
  /** It says so in an answer to this box. */
  | "answer_says_leaving"
  /** It has said so to another box. */
  | "told_own_word"
  | "address_reused"
  /** Another box has found out, not by the server's own word. */
  | "told_by_box"
  /** A server that started later says that it has its name. */
  | "started_again";

/** A server and what the box believes of it. */
export type BackendServer = Readonly<{
  entry: ServerEntry;
  /** Set once it gets no new work. */
  leaving: Readonly<{ reason: LeavingReason; since: Ms }> | undefined;
}>;
