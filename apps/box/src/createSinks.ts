/**
 * Sinks of the tables that the platform and its operators write: servers, configuration and
 * closed data halls.
 */
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
import type { FollowedTableUses } from "./createFollowedTables.js";
import { observeConfiguration } from "./observers.js";

export type SinksOptions = Readonly<{
  clock: Clock;
  log: DecisionLog;
  metrics: BoxMetrics;
  directory: ServerDirectory;
  holder: ConfigurationHolder;
  periods: Pick<ColdPeriods, "onHallOpened" | "onListRead">;
  /**
   * Time after this box has read that a server leaves within which the server may still get new
   * work.
   */
  leavingWithin: Ms;
  /** Called when the list of servers is read again after the store was lost. */
  onServersRegained: () => void;
  /** Called when a configuration with other client limits takes effect. */
  onLimits: (limits: ClientLimits) => void;
}>;

/** Creates the sinks. */
export const createSinks = (
  options: SinksOptions,
): Omit<FollowedTableUses, "boxes" | "blocked"> => {
  const { clock, log, metrics, directory, holder, periods, leavingWithin, onLimits } =
    options;

  const setClosedHalls = (
    closed: ReadonlySet<DataHallName>,
    events: readonly HallEvent[],
  ) => {
    directory.setClosedHalls(closed);
    for (const { kind, hall } of events) {
      if (kind === "opened") periods.onHallOpened(hall);
      log.writeDecision(`hall_${kind}`, { hall });
    }
  };
  const configuration = createConfigurationSink({
    key: CONFIGURATION_KEY,
    holder,
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
        onListRead: periods.onListRead,
        onEvent: (event) => {
          log.writeWarning("server_list", event);
          if (event.kind === "store_regained") options.onServersRegained();
        },
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
