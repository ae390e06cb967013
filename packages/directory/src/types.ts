/** Types of backend servers and their entries. */
import type {
  Brand,
  DataHallName,
  HostAndPort,
  Ms,
  ServiceName,
} from "@stairgauge/common";

/**
 * Identity of one start of a backend server. After a restart the server has another id, under the
 * same name or a new one.
 */
export type ServerId = Brand<string, "ServerId">;

/** Name under which a server is listed and that it uses for itself. */
export type ServerName = Brand<string, "ServerName">;

/** Version of a server's software, not of the weights it serves. Versions have no order. */
export type SoftwareVersion = Brand<string, "SoftwareVersion">;

/** IP address and port on which a server listens. */
export type ServerAddress = HostAndPort;

/** A server's own entry in the list of servers. */
export type ServerEntry = Readonly<{
  id: ServerId;
  name: ServerName;
  /**
   * Wall time of the server's start as given by itself; undefined if it gives none. A server of the
   * same name that started earlier is gone.
   */
  startedAt: Ms | undefined;
  service: ServiceName;
  /** Undefined if the entry names none; then nothing proves that another server has the same one. */
  softwareVersion?: SoftwareVersion | undefined;
  address: ServerAddress;
  dataHall: DataHallName;
  /** Number of requests that the server processes at the same time. */
  slots: number;
  isLeaving: boolean;
  /** How much longer the server is slow after its start, at the time the entry was written. */
  warmUpLeft: Ms;
}>;

/** Why a server gets no new work. The values are written to logs. */
export type LeavingReason =
  | "entry_says_leaving"
  | "entry_gone"
  | "report"
  /** The server announced it in an answer to this box. */
  | "answer_says_leaving"
  /** The server announced it to another box. */
  | "told_own_word"
  | "address_reused"
  /** Another box concluded it, without an announcement of the server. */
  | "told_by_box"
  /** A server that started later has the same name. */
  | "started_again";

/** A server's entry, and whether it is leaving. */
export type BackendServer = Readonly<{
  entry: ServerEntry;
  /** Set once the server gets no new work because it leaves or is gone. */
  leaving: Readonly<{ reason: LeavingReason; since: Ms }> | undefined;
}>;
