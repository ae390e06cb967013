/** Asks engines for their reports, each at its own pace, so that no two boxes ask in step. */
import type { Clock, Ms, Random, ServiceName } from "@stairgauge/common";
import type { BackendServer, ServerDirectory, ServerId } from "@stairgauge/directory";
import type { EngineActions } from "@stairgauge/migration";
import type { EngineReport, LoadBook } from "@stairgauge/placement";

/** What polling needs. */
export type ReportPollerOptions = Readonly<{
  clock: Clock;
  random: Random;
  directory: ServerDirectory;
  book: LoadBook;
  actions: EngineActions;
  interval: Ms;
  limit: Ms;
  isEngineService: (service: ServiceName) => boolean;
  onReport: (server: BackendServer, report: EngineReport) => void;
}>;

/** Polls the engines that it is told of. */
export type ReportPoller = Readonly<{
  add: (server: BackendServer) => void;
  /** Asks one engine now, beside its pace. */
  ask: (server: BackendServer) => Promise<EngineReport | undefined>;
  stop: () => void;
}>;

/** Creates the poller. */
export const createReportPoller = (options: ReportPollerOptions): ReportPoller => {
  const { clock, random, directory, book, actions, interval, limit } = options;
  const polled = new Set<ServerId>();
  let isStopped = false;

  const ask = async (server: BackendServer) => {
    const read = await actions.readReport(server.entry.address, limit);
    if (read.err) return undefined;
    book.putReport(server.entry.id, read.val, clock.monotonic());
    options.onReport(server, read.val);
    return read.val;
  };

  const schedule = (id: ServerId) => {
    const pause = interval * (0.75 + random.nextFloat() / 2);
    clock.setTimer(pause as Ms, () => void poll(id));
  };

  const poll = async (id: ServerId) => {
    const server = directory.find(id);
    if (isStopped || !server || server.leaving) {
      polled.delete(id);
      return;
    }
    if (options.isEngineService(server.entry.service)) await ask(server);
    schedule(id);
  };

  return {
    add: (server) => {
      const { id } = server.entry;
      if (polled.has(id)) return;
      polled.add(id);
      schedule(id);
    },
    ask,
    stop: () => {
      isStopped = true;
    },
  };
};
