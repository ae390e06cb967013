/** Limits that backend servers in need name, as boxes know and tell them. */
import type { BoxName, Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";

/** What one answer of a server says of its limit. */
export type LimitSignal = Readonly<
  | { kind: "unnamed" }
  /** Requests a second that the server takes from all boxes together, for as long as it says so. */
  | { kind: "named"; perSecond: number }
  | { kind: "unreadable"; text: string }
>;

/** The limit of one server, as a box knows it. */
export type KnownLimit = Readonly<{
  perSecond: number;
  /** Time since any box was known to have heard it first. */
  knownFor: Ms;
  /** Time since any box was known to have heard it last. */
  age: Ms;
}>;

/** A limit as one box tells it to another, whose steady clock is another one. */
export type SharedLimit = KnownLimit & Readonly<{ server: ServerId }>;

/** A server has answered without its limit; `age` is the time since the request was sent that it answered. */
export type SharedLift = Readonly<{ server: ServerId; age: Ms }>;

/** What one box tells others of limits. */
export type LimitUpdate = Readonly<{
  named: readonly SharedLimit[];
  lifted: readonly SharedLift[];
}>;

/** A change of what a box believes; `by` is the box that said so, if it was another one. */
export type LimitEvent = Readonly<
  | {
      kind: "named" | "changed";
      server: ServerId;
      perSecond: number;
      age: Ms;
      by: BoxName | undefined;
    }
  /** An answer came without it, to a request that was sent long enough after the last one with it. */
  | { kind: "lifted"; server: ServerId; age: Ms; by: BoxName | undefined }
  /** Nobody has heard of it for long. */
  | { kind: "run_out"; server: ServerId; age: Ms }
  /** The server itself is gone. */
  | { kind: "dropped"; server: ServerId; age: Ms }
  /** What the server names is no limit: what was known stays. */
  | { kind: "unreadable"; server: ServerId; text: string }
>;
