/** Wires the asking of engines for their reports: how often, and who hears what they say. */
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
import type { UpdateTaker } from "./takeUpdates.js";

/** What asking needs of the rest of a box. */
export type ReportsOptions = Readonly<{
  settings: Pick<BoxSettings, "engines">;
  clock: Clock;
  random: Random;
  directory: ServerDirectory;
  book: LoadRegistry;
  actions: EngineActions;
  /** The store does not reach this box. */
  isOutOfTouch: () => boolean;
  isEngineService: (service: ServiceName) => boolean;
  shares: ReportPollerOptions["shares"];
  updates: Pick<UpdateTaker, "markReported">;
  teller: Pick<RunReporter, "takeReport">;
}>;

/**
 * While the store is away only its report says that an engine leaves, two seconds before it does. Asked every 2 s by one
 * box or another, 12 streams of a day were lost to that; a box that is out of touch asks four times as often.
 */
const URGENT_SHARE = 0.25;

/** Creates what asks; it knows of no engine yet. */
export const createReports = (options: ReportsOptions): ReportPoller => {
  const { settings, isOutOfTouch, updates, teller, ...rest } = options;
  const interval = settings.engines.reportIntervalMs as Ms;
  const urgentInterval = (interval * URGENT_SHARE) as Ms;
  return createReportPoller({
    ...rest,
    getInterval: () => (isOutOfTouch() ? urgentInterval : interval),
    limit: settings.engines.reportLimitMs as Ms,
    onReport: (server, report) => updates.markReported(server.entry.id, report),
    onPolled: (server, report) => teller.takeReport({ server: server.entry.id, report }),
  });
};
