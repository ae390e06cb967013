/** Wires what backend servers say of themselves to the parts that act on it. */
import { assertNever, type Clock, type Random } from "@stairgauge/common";
import {
  getLeavingEvidence,
  type BackendServer,
  type ServerAddress,
  type ServerDirectory,
} from "@stairgauge/directory";
import type { ColdPeriods } from "@stairgauge/fleet";
import type { ServerLimits } from "@stairgauge/limits";
import type { EngineActions } from "@stairgauge/migration";
import { createEngineActions } from "@stairgauge/platform";
import {
  createServerBackoffs,
  type BackoffSignal,
  type ServerBackoffs,
} from "@stairgauge/backoffs";
import {
  dispatchSignals,
  type ReceivedSignal,
  type ReceivedSignals,
  type LeavingSignal,
  type ServerSignals,
  type SignalHandlers,
} from "@stairgauge/signals";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import { observeRests } from "./observers.js";
import { createUnreadableReporter } from "./reportUnreadable.js";

/** Who takes the signs. */
export type SignalsOptions = Readonly<{
  clock: Pick<Clock, "monotonic">;
  random: Pick<Random, "nextFloat">;
  log: DecisionLog;
  metrics: BoxMetrics;
  getDirectory: () => Pick<ServerDirectory, "find" | "list" | "mark">;
  limits: Pick<ServerLimits, "applySignal">;
  spells: Pick<ColdPeriods, "onEntry">;
  /** A server that stays has announced the end of a connection, which one that leaves does. */
  onClosingAnnounced: (server: BackendServer) => void;
}>;

/** The parts that the rest of a box calls. */
export type Signals = Readonly<{
  /** Takes the signs of an answer to a request or a health call. */
  take: (heard: ReceivedSignals) => void;
  /** Calls on engines, whose answers carry signs, too; a server that leaves has no say there any more. */
  actions: EngineActions;
  rests: ServerBackoffs;
}>;

/** Creates the parts; no server has said anything. */
export const createSignals = (options: SignalsOptions): Signals => {
  const { clock, log, metrics, getDirectory, limits, spells, onClosingAnnounced } =
    options;
  const rests: ServerBackoffs = createServerBackoffs({
    clock,
    random: options.random,
    onEvent: observeRests({ log, metrics, listResting: () => rests.listResting() }),
  });
  const tellUnreadable = createUnreadableReporter(log);

  const takeClosing = ({
    server,
    signal: isClosing,
    source,
  }: ReceivedSignal<boolean>) => {
    // Health calls ask for the end of their connection themselves, and the answer to a report would have another one asked for.
    if (isClosing && source.kind === "request") onClosingAnnounced(server);
  };
  const markLeaving = ({ server, source }: ReceivedSignal<LeavingSignal>) => {
    const { id } = server.entry;
    const known = getDirectory().find(id)?.leaving?.reason;
    if (known !== undefined && getLeavingEvidence(known) === "own_word") return;
    log.writeNotice("server_says_leaving", { server: id, source });
    getDirectory().mark(id, "answer_says_leaving", clock.monotonic());
  };
  const takeLeaving = (heard: ReceivedSignal<LeavingSignal>) => {
    const { signal, server } = heard;
    if (signal.kind !== "unsaid")
      metrics.serverSigns.inc({ sign: "leaving", is: signal.kind });
    switch (signal.kind) {
      case "unsaid":
        return;
      case "leaving":
        markLeaving(heard);
        return;
      case "unreadable":
        tellUnreadable(server.entry.id, { sign: "leaving", text: signal.text });
        return;
      default:
        assertNever(signal);
    }
  };
  const takeRest = ({ server, signal, source }: ReceivedSignal<BackoffSignal>) => {
    const { id } = server.entry;
    if (signal.kind !== "not_asked")
      metrics.serverSigns.inc({ sign: "rest", is: signal.kind });
    switch (signal.kind) {
      case "not_asked":
        if (source.kind === "request") rests.recordAnswer(id, source.sentAgo);
        return;
      case "asked":
        rests.begin(id, signal.duration);
        return;
      case "unreadable":
        tellUnreadable(id, { sign: "rest", text: signal.text });
        return;
      default:
        assertNever(signal);
    }
  };
  const takers: SignalHandlers = {
    isClosing: takeClosing,
    warmUpLeft: ({ server, signal }) => {
      if (signal !== undefined) spells.onEntry({ ...server.entry, warmUpLeft: signal });
    },
    limit: ({ server, signal, source }) => {
      const sentAgo = source.kind === "request" ? source.sentAgo : undefined;
      limits.applySignal(server.entry.id, signal, sentAgo);
    },
    leaving: takeLeaving,
    rest: takeRest,
  };
  const take = (heard: ReceivedSignals) => dispatchSignals(takers, heard);
  const listStaying = ({ host, port }: ServerAddress) =>
    getDirectory()
      .list()
      .filter(({ entry }) => entry.address.host === host && entry.address.port === port)
      .filter(({ leaving }) => leaving === undefined);
  const takeFromEngine = (address: ServerAddress, signals: ServerSignals) => {
    for (const server of listStaying(address))
      take({ server, signals, source: { kind: "call" } });
  };
  return { take, actions: createEngineActions({ onSigns: takeFromEngine }), rests };
};
