/** Backoffs that backend servers ask of one box when they reject its requests. */
import type { Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";

/** Whether an answer asks for a backoff. */
export type BackoffSignal = Readonly<
  | { kind: "not_asked" }
  /** The server rejected the request and wants no request of this box for the duration. */
  | { kind: "asked"; duration: Ms }
  /** The header has an invalid value. */
  | { kind: "unreadable"; text: string }
>;

/**
 * A change of a server's backoff. `duration` is the accepted
 * duration without the spread, and `until` when this box resumes, on the monotonic clock.
 */
export type BackoffEvent = Readonly<
  | { kind: "asked"; server: ServerId; duration: Ms; until: Ms }
  /** The server asked again during the backoff, which now ends later. */
  | { kind: "prolonged"; server: ServerId; duration: Ms; until: Ms }
  /** The server may be sent requests again, few at first. */
  | { kind: "over"; server: ServerId }
>;
