/** Rest that backend servers ask of one box when they turn its requests away. */
import type { Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";

/** What one answer of a server says of rest. */
export type BackoffSignal = Readonly<
  | { kind: "not_asked" }
  /** The server has turned the request away, and wants nothing of this box for so long. */
  | { kind: "asked"; duration: Ms }
  | { kind: "unreadable"; text: string }
>;

/** A change of what a box owes a server. */
export type BackoffEvent = Readonly<
  | { kind: "asked"; server: ServerId; duration: Ms; until: Ms }
  /** The server has turned a request away again, and rests longer than before. */
  | { kind: "prolonged"; server: ServerId; duration: Ms; until: Ms }
  /** It may be sent requests again, few at first. */
  | { kind: "over"; server: ServerId }
>;
