/** Asks engines for their reports, each at its own pace; boxes share the engines out, and tell each other what they hear. */
import type { Clock, Ms, Random, ServiceName } from "@stairgauge/common";
import type { BackendServer, ServerDirectory, ServerId } from "@stairgauge/directory";
import type { EngineActions } from "@stairgauge/migration";
import type { EngineReport, LoadRegistry } from "@stairgauge/placement";

/** What polling needs. */
export type ReportPollerOptions = Readonly<{
  clock: Clock;
  random: Random;
  directory: ServerDirectory;
  book: LoadRegistry;
  actions: EngineActions;
  /** How often an engine is asked by all boxes together, as things are now. */
  getInterval: () => Ms;
  limit: Ms;
  shares: WatchSharing;
  isEngineService: (service: ServiceName) => boolean;
  /** Any report that this box has asked for. */
  onReport: (server: BackendServer, report: EngineReport) => void;
  /** A report that it has asked for on behalf of all boxes. */
  onPolled: (server: BackendServer, report: EngineReport) => void;
}>;

/** How the boxes share the engines out. */
export type WatchSharing = Readonly<{
  isWatcher: (server: ServerId) => boolean;
  countWatchers: () => number;
}>;

/** Polls the engines that it is told of. */
export type ReportPoller = Readonly<{
  add: (server: BackendServer) => void;
  /** Asks one engine now, beside its pace. */
  ask: (server: BackendServer) => Promise<EngineReport | undefined>;
  stop: () => void;
}>;

/** How often it is looked whether an engine is to be asked; an interval that has become shorter acts this soon. */
const LOOK_MS = 500;

/** Draws the pauses apart, so that boxes do not ask in step. */
const MIN_PAUSE = 0.75;
const PAUSE_RANGE = 0.5;

/** An engine that has started again under its name and address knows nothing of what ran there before. */
const isOtherStart = ({ entry }: BackendServer, { startedAt }: EngineReport): boolean =>
  entry.startedAt !== undefined &&
  startedAt !== undefined &&
  startedAt !== entry.startedAt;

/** Creates the poller. */
export const createReportPoller = (options: ReportPollerOptions): ReportPoller => {
  const { clock, random, directory, book, actions, getInterval, limit, shares } = options;
  /** The engines, and when each was last asked for all boxes. */
  const polled = new Map<ServerId, number>();
  let isStopped = false;

  const ask = async (server: BackendServer) => {
    const read = await actions.readReport(server.entry.address, limit);
    if (read.err) return undefined;
    if (isOtherStart(server, read.val)) {
      directory.mark(server.entry.id, "started_again", clock.monotonic());
      return undefined;
    }
    book.putReport(server.entry.id, read.val, clock.monotonic());
    options.onReport(server, read.val);
    return read.val;
  };

  const computeRandomShare = () => MIN_PAUSE + random.nextFloat() * PAUSE_RANGE;

  const schedule = (id: ServerId) => {
    const pause = Math.min(LOOK_MS, getInterval()) * computeRandomShare();
    clock.setTimer(pause as Ms, () => void poll(id));
  };

  const isDue = (id: ServerId) => {
    const pause = getInterval() * shares.countWatchers() * computeRandomShare();
    return clock.monotonic() - (polled.get(id) ?? -Infinity) >= pause;
  };

  const poll = async (id: ServerId) => {
    const server = directory.find(id);
    if (isStopped || !server || server.leaving) {
      polled.delete(id);
      return;
    }
    const isOurs = options.isEngineService(server.entry.service) && shares.isWatcher(id);
    if (isOurs && isDue(id)) {
      polled.set(id, clock.monotonic());
      const report = await ask(server);
      if (report) options.onPolled(server, report);
    }
    schedule(id);
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
