/** Signals about a backend server itself, decoded from the heads of its answers. */
import type { Ms } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import type { BrittleSignal } from "@stairgauge/capacity";
import type { LimitSignal } from "@stairgauge/limits";
import type { BackoffSignal } from "@stairgauge/backoffs";

/** Whether a server announces that it is leaving; `unreadable`: the header has an invalid value. */
export type LeavingSignal = Readonly<
  { kind: "unsaid" } | { kind: "leaving" } | { kind: "unreadable"; text: string }
>;

/** All signals of one answer. */
export type ServerSignals = Readonly<{
  /** Whether the server will close the connection; leaving servers do, others only now and then. */
  isClosing: boolean;
  /** Remaining warm-up time of the server; undefined if not stated. */
  warmUpLeft: Ms | undefined;
  /** How many requests the server accepts from all boxes together. */
  limit: LimitSignal;
  /** Whether the server falls over if it rejects more than a few requests. */
  brittle: BrittleSignal;
  leaving: LeavingSignal;
  /** Whether the server asks this box for a backoff. */
  rest: BackoffSignal;
}>;

/** The kind of call whose answer carried the signals. */
export type SignalSource = Readonly<
  /** A client's request; `sentAgo` is the time since it was sent. */
  | { kind: "request"; request: string | undefined; status: number; sentAgo: Ms }
  /** A health check. */
  | { kind: "health" }
  /** A request for an engine's load report, or a call that copies a run. */
  | { kind: "call" }
>;

/** One signal, with its server and the call whose answer carried it. */
export type ReceivedSignal<Signal> = Readonly<{
  server: BackendServer;
  signal: Signal;
  source: SignalSource;
}>;

/** One handler for each signal; the type requires all of them, so that no decoded signal is ignored. */
export type SignalHandlers = {
  readonly [Name in keyof ServerSignals]: (
    received: ReceivedSignal<ServerSignals[Name]>,
  ) => void;
};
