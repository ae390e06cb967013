/** Where the tables that a box follows go: into its directory of servers, its configuration, and the halls that are closed. */
import type { Clock, DataHallName, Ms } from "@stairgauge/common";
import type { ServerDirectory } from "@stairgauge/directory";
import {
  createClosedHallsSink,
  createConfigurationSink,
  createOperatorRestoreRules,
  createServerRestoreRules,
  createServerSink,
  withRowSink,
  type ColdPeriods,
  type HallEvent,
} from "@stairgauge/fleet";
import {
  CONFIGURATION_KEY,
  decodeClosedHall,
  decodeConfiguration,
  decodeServerEntry,
} from "@stairgauge/platform";
import type { ClientLimits, ConfigurationHolder } from "@stairgauge/routing";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import type { KnowledgeTables } from "./createKnowledge.js";
import { observeConfiguration } from "./observers.js";

/** What the sinks fill, and who is told. */
export type SinksOptions = Readonly<{
  clock: Clock;
  log: DecisionLog;
  metrics: BoxMetrics;
  directory: ServerDirectory;
  keeper: ConfigurationHolder;
  spells: Pick<ColdPeriods, "onHallOpened" | "onListRead">;
  /** A server that left gets no new work later than this after the box heard of it. */
  leavingWithin: Ms;
  /** A configuration with other bounds on clients is in force. */
  onLimits: (limits: ClientLimits) => void;
}>;

/** Creates what takes the tables that the platform and its operators write. */
export const createSinks = (
  options: SinksOptions,
): Omit<KnowledgeTables, "boxes" | "blocked"> => {
  const { clock, log, metrics, directory, keeper, spells, leavingWithin, onLimits } =
    options;

  const setClosedHalls = (
    closed: ReadonlySet<DataHallName>,
    events: readonly HallEvent[],
  ) => {
    directory.setClosedHalls(closed);
    for (const { kind, hall } of events) {
      if (kind === "opened") spells.onHallOpened(hall);
      log.writeDecision(`hall_${kind}`, { hall });
    }
  };
  const configuration = createConfigurationSink({
    key: CONFIGURATION_KEY,
    keeper,
    decode: decodeConfiguration,
    onEvent: (event) => {
      observeConfiguration({ log, metrics }, event);
      if (event.kind === "adopted") onLimits(event.configuration.limits);
    },
  });

  return {
    servers: {
      sink: createServerSink({
        clock,
        directory,
        decode: decodeServerEntry,
        leavingWithin,
        onListRead: spells.onListRead,
        onEvent: (event) => log.writeWarning("server_list", event),
      }),
      rules: createServerRestoreRules({ decode: decodeServerEntry }),
    },
    configuration: {
      sink: withRowSink(
        configuration,
        createClosedHallsSink({ decodeKey: decodeClosedHall, onChange: setClosedHalls }),
      ),
      rules: createOperatorRestoreRules({
        key: CONFIGURATION_KEY,
        decode: decodeConfiguration,
        decodeHall: decodeClosedHall,
      }),
    },
  };
};
