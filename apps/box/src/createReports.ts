/** Polls engines for their reports and shares the results. */
import type { Clock, Ms, Random, ServiceName } from "@stairgauge/common";
import type { ServerDirectory } from "@stairgauge/directory";
import {
  createReportPoller,
  type ReportPoller,
  type ReportPollerOptions,
} from "@stairgauge/fleet";
import type { EngineActions } from "@stairgauge/migration";
import type { RunReporter } from "@stairgauge/peers";
import type { LoadRegistry } from "@stairgauge/placement";
import type { BoxSettings } from "@stairgauge/settings";
import type { UpdateReceiver } from "./receiveUpdates.js";

export type ReportsOptions = Readonly<{
  settings: Pick<BoxSettings, "engines">;
  clock: Clock;
  random: Random;
  directory: ServerDirectory;
  registry: LoadRegistry;
  actions: EngineActions;
  /** Whether this box has lost the store. */
  isOutOfTouch: () => boolean;
  isEngineService: (service: ServiceName) => boolean;
  shares: ReportPollerOptions["shares"];
  updates: Pick<UpdateReceiver, "applyReport">;
  reporter: Pick<RunReporter, "recordReport">;
}>;

/**
 * Interval while the store is out of reach, as a share of the usual one. Without the store only
 * an engine's report announces that it leaves, two seconds ahead. Polling every 2 s lost 12
 * streams a day, so a box that has lost the store polls four times as often.
 */
const URGENT_SHARE = 0.25;

/** Creates the poller; it has no engines yet. */
export const createReports = (options: ReportsOptions): ReportPoller => {
  const { settings, isOutOfTouch, updates, reporter, ...rest } = options;
  const interval = settings.engines.reportIntervalMs as Ms;
  const urgentInterval = (interval * URGENT_SHARE) as Ms;
  return createReportPoller({
    ...rest,
    getInterval: () => (isOutOfTouch() ? urgentInterval : interval),
    limit: settings.engines.reportLimitMs as Ms,
    onReport: (server, report) => updates.applyReport(server.entry.id, report),
    onPolled: (server, report) =>
      reporter.recordReport({ server: server.entry.id, report }),
  });
};
