/**
 * Dispatches the signals in backend servers' answers (leaving, limit, backoff, warm-up) to the
 * parts that handle them.
 */
import { assertNever, type Clock, type Dialer, type Random } from "@stairgauge/common";
import {
  getLeavingEvidence,
  type BackendServer,
  type ServerAddress,
  type ServerDirectory,
} from "@stairgauge/directory";
import type { ColdPeriods } from "@stairgauge/fleet";
import type { ServerLimits } from "@stairgauge/limits";
import type { EngineActions } from "@stairgauge/migration";
import {
  createEngineActions,
  type CallBounds,
  type EngineActionsOptions,
} from "@stairgauge/platform";
import {
  createServerBackoffs,
  type BackoffSignal,
  type ServerBackoffs,
} from "@stairgauge/backoffs";
import type { BrittleSignal } from "@stairgauge/capacity";
import {
  dispatchSignals,
  type ReceivedSignal,
  type ReceivedSignals,
  type LeavingSignal,
  type ServerSignals,
  type SignalHandlers,
} from "@stairgauge/signals";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import type { Capacity } from "./createCapacity.js";
import { observeBackoffs } from "./observers.js";
import { createUnreadableReporter } from "./reportUnreadable.js";

export type SignalsOptions = Readonly<{
  clock: Clock;
  random: Pick<Random, "nextFloat">;
  log: DecisionLog;
  metrics: BoxMetrics;
  dialServer?: Dialer | undefined;
  findCarriedWay?: EngineActionsOptions["findCarriedWay"];
  callBounds?: CallBounds;
  getParts: () => Readonly<{
    directory: Pick<ServerDirectory, "find" | "list" | "mark">;
    capacity: Pick<Capacity, "recordBrittle" | "recordNotBrittle">;
  }>;
  limits: Pick<ServerLimits, "applySignal">;
  periods: Pick<ColdPeriods, "onEntry">;
  /**
   * Called when a server answers a request with the end of its connection, as a server that
   * leaves does.
   */
  onClosingAnnounced: (server: BackendServer) => void;
}>;

export type Signals = Readonly<{
  /** Handles the signals of an answer to a request or a health call. */
  handle: (received: ReceivedSignals) => void;
  /**
   * Calls to engines. Signals in their answers are handled as well, unless the server is
   * leaving already.
   */
  actions: EngineActions;
  backoffs: ServerBackoffs;
}>;

/** Creates the handlers; no signal is on record. */
export const createSignals = (options: SignalsOptions): Signals => {
  const { clock, log, metrics, getParts, limits, periods, onClosingAnnounced } = options;
  const backoffs: ServerBackoffs = createServerBackoffs({
    clock,
    random: options.random,
    onEvent: observeBackoffs({
      log,
      metrics,
      listBackingOff: () => backoffs.listBackingOff(),
    }),
  });
  const reportUnreadable = createUnreadableReporter(log);

  const handleClosing = ({
    server,
    signal: isClosing,
    source,
  }: ReceivedSignal<boolean>) => {
    // Health calls request the end of their connection themselves, and an answer to a report
    // would cause another report call.
    if (isClosing && source.kind === "request") onClosingAnnounced(server);
  };
  const markLeaving = ({ server, source }: ReceivedSignal<LeavingSignal>) => {
    const { id } = server.entry;
    const reason = getParts().directory.find(id)?.leaving?.reason;
    if (reason !== undefined && getLeavingEvidence(reason) === "own_word") return;
    log.writeNotice("server_says_leaving", { server: id, source });
    getParts().directory.mark(id, "answer_says_leaving", clock.monotonic());
  };
  const handleLeaving = (received: ReceivedSignal<LeavingSignal>) => {
    const { signal, server } = received;
    if (signal.kind !== "unsaid")
      metrics.serverSigns.inc({ sign: "leaving", is: signal.kind });
    switch (signal.kind) {
      case "unsaid":
        return;
      case "leaving":
        markLeaving(received);
        return;
      case "unreadable":
        reportUnreadable(server.entry.id, { sign: "leaving", text: signal.text });
        return;
      default:
        assertNever(signal);
    }
  };
  const handleBrittle = ({ server, signal, source }: ReceivedSignal<BrittleSignal>) => {
    if (signal.kind !== "unsaid")
      metrics.serverSigns.inc({ sign: "brittle", is: signal.kind });
    switch (signal.kind) {
      case "unsaid":
        if (source.kind === "request")
          getParts().capacity.recordNotBrittle(server, source.sentAgo);
        return;
      case "said":
        getParts().capacity.recordBrittle(server, signal.maxRejected);
        return;
      case "unreadable":
        reportUnreadable(server.entry.id, { sign: "brittle", text: signal.text });
        return;
      default:
        assertNever(signal);
    }
  };
  const handleBackoff = ({ server, signal, source }: ReceivedSignal<BackoffSignal>) => {
    const { id } = server.entry;
    if (signal.kind !== "not_asked")
      metrics.serverSigns.inc({ sign: "rest", is: signal.kind });
    switch (signal.kind) {
      case "not_asked":
        if (source.kind === "request") backoffs.recordAnswer(id, source.sentAgo);
        return;
      case "asked":
        backoffs.begin(id, signal.duration);
        return;
      case "unreadable":
        reportUnreadable(id, { sign: "rest", text: signal.text });
        return;
      default:
        assertNever(signal);
    }
  };
  const handlers: SignalHandlers = {
    isClosing: handleClosing,
    warmUpLeft: ({ server, signal }) => {
      if (signal !== undefined) periods.onEntry({ ...server.entry, warmUpLeft: signal });
    },
    limit: ({ server, signal, source }) => {
      const sentAgo = source.kind === "request" ? source.sentAgo : undefined;
      limits.applySignal(server.entry.id, signal, sentAgo);
    },
    brittle: handleBrittle,
    leaving: handleLeaving,
    rest: handleBackoff,
  };
  const handle = (received: ReceivedSignals) => dispatchSignals(handlers, received);
  const listStaying = ({ host, port }: ServerAddress) =>
    getParts()
      .directory.list()
      .filter(({ entry }) => entry.address.host === host && entry.address.port === port)
      .filter(({ leaving }) => leaving === undefined);
  const handleFromEngine = (address: ServerAddress, signals: ServerSignals) => {
    for (const server of listStaying(address))
      handle({ server, signals, source: { kind: "call" } });
  };
  return {
    handle,
    actions: createEngineActions({
      clock,
      onSignals: handleFromEngine,
      dial: options.dialServer,
      findCarriedWay: options.findCarriedWay,
      bounds: options.callBounds,
    }),
    backoffs,
  };
};
