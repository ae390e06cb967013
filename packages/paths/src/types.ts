/**
 * Messages of a carried request: one that a box without a path to the server sends by way of another
 * box, its carrier.
 */
import type { BoxName, Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";

/** A request that another box is asked to send to a server as it is. */
export type CarryQuestion = Readonly<{
  server: ServerId;
  /** Whether the server gets new work, which a leaving server must not get. */
  isNewWork: boolean;
  method: string;
  /** Path and query. */
  target: string;
  /** Names and values in turn, as the server receives them. */
  headers: readonly string[];
  body: Buffer;
}>;

/** Why a box does not carry a request; nothing was sent. */
export type CarryRefusal =
  /** The box has lost its own path to the server. */
  | "path_lost"
  /** The box carries as much as it may. */
  | "no_room"
  | "stopping"
  | "server_unknown"
  | "server_leaving"
  /** A box of an earlier release. */
  | "not_supported";

/** One step of a carried request, in the order in which the carrier sends them. */
export type CarryFrame = Readonly<
  | { kind: "refused"; reason: CarryRefusal }
  /** The carrier could not connect to the server; nothing was sent. */
  | { kind: "unreached"; detail: string }
  /** The carrier is connected: the server may have received the request from now on. */
  | { kind: "connected" }
  | { kind: "head"; status: number; reason: string; headers: readonly string[] }
  | { kind: "data"; bytes: Buffer }
  /** The answer has ended without an error. */
  | { kind: "ended"; by: "framing" | "connection" }
  /** The exchange between the carrier and the server failed. */
  | { kind: "failed"; as: "broken" | "malformed"; detail: string }
>;

/** How a connection to a server failed before it was established. */
export type UnreachedCause = "refused" | "no_connection";

/** A change of what a box believes about its paths. */
export type PathEvent = Readonly<
  /** `carrier` reached a server that this box did not reach. */
  | { kind: "lost"; server: ServerId; cause: UnreachedCause; carrier: BoxName }
  | { kind: "regained"; server: ServerId; lasted: Ms }
  /** Several servers in a row were lost, and none was reached since: all paths count as lost. */
  | { kind: "all_lost"; servers: number }
  /** A server was reached: other servers are tried again. */
  | { kind: "some_left" }
  /** Neither this box nor a carrier reaches the server. */
  | { kind: "down"; server: ServerId; detail: string }
>;
