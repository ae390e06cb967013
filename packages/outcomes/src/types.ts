/** What may be said of a call that was tried. */

/** `not_run`: no attempt has reached or can still reach a backend server. */
export type Outcome = "ran" | "not_run" | "unknown";

/** Why an exchange with a backend server ended without a whole answer. */
export type LinkFailure = Readonly<
  /** No connection came to be, so no byte of the request left. */
  | { kind: "connect_failed"; detail: string }
  /** The server refused with a status; `ranNothing` when it says so itself. */
  | { kind: "refused"; status: number; ranNothing: boolean; isLeaving: boolean }
  /** The server does not know the generation that was to be resumed. */
  | { kind: "generation_gone" }
  /** The connection closed before the verified end. */
  | { kind: "closed_early"; detail: string }
  /** Nothing arrived for too long. */
  | { kind: "silent" }
  /** What arrived was not the protocol. */
  | { kind: "garbage"; detail: string }
  /** This side closed the exchange. */
  | { kind: "aborted" }
>;
