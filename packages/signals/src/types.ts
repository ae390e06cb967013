/** What backend servers say of themselves in the heads of their answers, as boxes hear it. */
import type { Ms } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import type { LimitSignal } from "@stairgauge/limits";
import type { BackoffSignal } from "@stairgauge/backoffs";

/** Whether a server says that it leaves. */
export type LeavingSignal = Readonly<
  { kind: "unsaid" } | { kind: "leaving" } | { kind: "unreadable"; text: string }
>;

/** All signs of one answer, decoded once at the edge. */
export type ServerSignals = Readonly<{
  /** The server will close the connection; one that is leaving says so, and others now and then. */
  isClosing: boolean;
  /** How much longer the server stays cold, where it says so. */
  warmUpLeft: Ms | undefined;
  /** What the server says of the requests that it takes from all boxes. */
  limit: LimitSignal;
  leaving: LeavingSignal;
  /** Whether the server wants nothing of this box for a while. */
  rest: BackoffSignal;
}>;

/** The kind of call whose answer carried the signs. */
export type SignalSource = Readonly<
  /** A client's request; `sentAgo` is the time since it was sent. */
  | { kind: "request"; request: string | undefined; status: number; sentAgo: Ms }
  /** The server was asked whether it is there. */
  | { kind: "health" }
  /** An engine's report, or a call that copies a run. */
  | { kind: "call" }
>;

/** One sign, who gave it, and where. */
export type ReceivedSignal<Sign> = Readonly<{
  server: BackendServer;
  signal: Sign;
  source: SignalSource;
}>;

/** Who takes each sign: one taker each, so that none is decoded for nobody. */
export type SignalHandlers = {
  readonly [Name in keyof ServerSignals]: (
    heard: ReceivedSignal<ServerSignals[Name]>,
  ) => void;
};
