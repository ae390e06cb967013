/** Outcomes and failures of calls to backend servers. */

/** Whether a call ran. `not_run`: no attempt has reached a backend server or can still reach one. */
export type Outcome = "ran" | "not_run" | "unknown";

/** Why a request to a backend server ended without a whole answer. */
export type LinkFailure = Readonly<
  /** No connection was established, so no byte of the request was sent. */
  | { kind: "connect_failed"; detail: string }
  /** The server refused with an HTTP status. `ranNothing`: it states that nothing has run. */
  | { kind: "refused"; status: number; ranNothing: boolean; isLeaving: boolean }
  /** The server has no generation with the id that was to be resumed. */
  | { kind: "generation_gone" }
  /** The connection closed before the end of the answer. */
  | { kind: "closed_early"; detail: string }
  /** No data arrived within the time limit. */
  | { kind: "silent" }
  /** The received data violates the protocol. */
  | { kind: "garbage"; detail: string }
  /** The box itself closed the request. */
  | { kind: "aborted" }
>;
