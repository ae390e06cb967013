/**
 * Request rate limits that overloaded backend servers name in their answers, and how boxes share
 * them.
 */
import type { BoxName, Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";

/** What one answer of a server says about its limit. */
export type LimitSignal = Readonly<
  | { kind: "unnamed" }
  /**
   * Requests per second that the server accepts from all boxes together, until it stops naming the
   * limit.
   */
  | { kind: "named"; perSecond: number }
  | { kind: "unreadable"; text: string }
>;

/** The current limit of one server, as recorded by one box. */
export type KnownLimit = Readonly<{
  perSecond: number;
  /** Time since the first known answer with this limit, to any box. */
  knownFor: Ms;
  /** Time since the last known answer with this limit, to any box. */
  age: Ms;
}>;

/**
 * A limit as sent between boxes. It carries ages instead of points in time, since the monotonic
 * clocks of two boxes differ.
 */
export type SharedLimit = KnownLimit & Readonly<{ server: ServerId }>;

/**
 * A server that has answered without its limit. `age` is the time since that answer's request was
 * sent.
 */
export type SharedLift = Readonly<{ server: ServerId; age: Ms }>;

/** Limits named and lifted, as one box sends them to others. */
export type LimitUpdate = Readonly<{
  named: readonly SharedLimit[];
  lifted: readonly SharedLift[];
}>;

/**
 * A change of the limits on record. `by` is the box that reported it; undefined if this box
 * observed it itself.
 */
export type LimitEvent = Readonly<
  | {
      kind: "named" | "changed";
      server: ServerId;
      perSecond: number;
      age: Ms;
      by: BoxName | undefined;
    }
  /**
   * An answer without the limit came to a request that was sent long enough after the last answer
   * with it.
   */
  | { kind: "lifted"; server: ServerId; age: Ms; by: BoxName | undefined }
  /** No box has received the limit for a long time. */
  | { kind: "run_out"; server: ServerId; age: Ms }
  /** The server itself has been removed. */
  | { kind: "dropped"; server: ServerId; age: Ms }
  /** The server named something that is not a valid limit; the limit on record stays. */
  | { kind: "unreadable"; server: ServerId; text: string }
>;
