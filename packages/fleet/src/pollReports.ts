/**
 * Polls engines for their reports, each at its own interval. Boxes divide the engines among them
 * and send each other the reports.
 */
import type { Clock, Ms, Random, ServiceName } from "@stairgauge/common";
import type { BackendServer, ServerDirectory, ServerId } from "@stairgauge/directory";
import type { EngineActions } from "@stairgauge/migration";
import type { EngineReport, LoadRegistry } from "@stairgauge/placement";

/** Dependencies of the poller. */
export type ReportPollerOptions = Readonly<{
  clock: Clock;
  random: Random;
  directory: ServerDirectory;
  registry: LoadRegistry;
  actions: EngineActions;
  /** Returns the present interval at which all boxes together poll an engine. */
  getInterval: () => Ms;
  limit: Ms;
  shares: WatchSharing;
  isEngineService: (service: ServiceName) => boolean;
  /** Called for each report that this box has requested. */
  onReport: (server: BackendServer, report: EngineReport) => void;
  /** Called for each report that this box has polled on behalf of all boxes. */
  onPolled: (server: BackendServer, report: EngineReport) => void;
}>;

/** How the boxes divide the engines among them. */
export type WatchSharing = Readonly<{
  isWatcher: (server: ServerId) => boolean;
  countWatchers: () => number;
}>;

/** Polls the engines added to it. */
export type ReportPoller = Readonly<{
  add: (server: BackendServer) => void;
  /**
   * Requests one engine's report now, independent of its interval; undefined if there is no usable
   * answer.
   */
  ask: (server: BackendServer) => Promise<EngineReport | undefined>;
  stop: () => void;
}>;

/**
 * Interval at which an engine is checked for being due. A shorter polling interval takes effect
 * within this time.
 */
const CHECK_INTERVAL_MS = 500;

/** Random factor on intervals, so that boxes don't poll at the same moments. */
const MIN_INTERVAL_FACTOR = 0.75;
const INTERVAL_FACTOR_RANGE = 0.5;

/**
 * Whether a report is from another start of the engine. An engine that was restarted under its name
 * and address has none of its previous runs.
 */
const isOtherStart = ({ entry }: BackendServer, { startedAt }: EngineReport): boolean =>
  entry.startedAt !== undefined &&
  startedAt !== undefined &&
  startedAt !== entry.startedAt;

export const createReportPoller = (options: ReportPollerOptions): ReportPoller => {
  const { clock, random, directory, registry, actions, getInterval, limit, shares } =
    options;
  /** The engines, and when this box last polled each on behalf of all boxes. */
  const polled = new Map<ServerId, number>();
  let isStopped = false;

  const ask = async (server: BackendServer) => {
    const askedAt = clock.boottime();
    const read = await actions.readReport(server.entry.address, limit);
    // A report that arrived while this process was suspended tells of the time before.
    const isLate = clock.boottime() - askedAt > limit;
    if (read.err || isLate) return undefined;
    if (isOtherStart(server, read.val)) {
      directory.mark(server.entry.id, "started_again", clock.monotonic());
      return undefined;
    }
    registry.putReport(server.entry.id, read.val, clock.monotonic());
    options.onReport(server, read.val);
    return read.val;
  };

  const computeRandomFactor = () =>
    MIN_INTERVAL_FACTOR + random.nextFloat() * INTERVAL_FACTOR_RANGE;

  const schedule = (id: ServerId) => {
    const delay = Math.min(CHECK_INTERVAL_MS, getInterval()) * computeRandomFactor();
    clock.setTimer(delay as Ms, () => void poll(id));
  };

  const isDue = (id: ServerId) => {
    const delay = getInterval() * shares.countWatchers() * computeRandomFactor();
    return clock.monotonic() - (polled.get(id) ?? -Infinity) >= delay;
  };

  const pollIfDue = async (server: BackendServer) => {
    const { id, service } = server.entry;
    const isWatchedHere = options.isEngineService(service) && shares.isWatcher(id);
    if (!isWatchedHere || !isDue(id)) return;
    polled.set(id, clock.monotonic());
    const report = await ask(server);
    if (report) options.onPolled(server, report);
  };

  const poll = async (id: ServerId) => {
    const server = directory.find(id);
    if (isStopped || !server || server.leaving) {
      polled.delete(id);
      return;
    }
    try {
      await pollIfDue(server);
    } finally {
      schedule(id);
    }
  };

  return {
    add: (server) => {
      const { id } = server.entry;
      if (polled.has(id)) return;
      polled.set(id, clock.monotonic());
      schedule(id);
    },
    ask,
    stop: () => {
      isStopped = true;
    },
  };
};
