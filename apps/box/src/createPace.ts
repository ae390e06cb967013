/** Creates the service times of servers that a box knows, and their exchange with other boxes. */
import { toBoottimeClock, type Clock, type Ms } from "@stairgauge/common";
import type { BackendServer, ServerDirectory, ServerId } from "@stairgauge/directory";
import { observePrompts } from "@stairgauge/fleet";
import type { PaceObserver } from "@stairgauge/forwarding";
import {
  createPaceExchange,
  createPaceRegistry,
  createReadingTimer,
  type PaceExchange,
  type PaceRegistry,
} from "@stairgauge/pace";
import { makeNotice, type PeerServer, type RunReporter } from "@stairgauge/peers";
import type { RunChange } from "@stairgauge/placement";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import { observePaces } from "./observers.js";

export type PaceOptions = Readonly<{
  clock: Clock;
  log: DecisionLog;
  metrics: BoxMetrics;
  peers: Readonly<{
    reporter: Pick<RunReporter, "recordPaces">;
    peerServer: Pick<PeerServer, "notifyAll">;
    /** Whether this box forwards notices to boxes that are linked to hubs only. */
    isForwarding: () => boolean;
  }>;
  getParts: () => Readonly<{ directory: Pick<ServerDirectory, "find"> }>;
}>;

/** The service times of one box. */
export type Pace = Readonly<{
  registry: PaceRegistry;
  /** What the forwarder observes, and what it reads. */
  observer: PaceObserver;
  /** Handles a change of this or another box's runs. */
  onRunChange: (change: RunChange) => void;
  drop: (server: ServerId) => void;
  stop: PaceExchange["stop"];
}>;

/** Creates them; no server is on record. */
export const createPace = (options: PaceOptions): Pace => {
  const { clock, log, metrics, peers, getParts } = options;
  const findEntry = (server: ServerId) => getParts().directory.find(server)?.entry;
  const registry: PaceRegistry = createPaceRegistry({
    clock: toBoottimeClock(clock),
    isListed: (server) => findEntry(server) !== undefined,
    ...observePaces({ log, metrics }),
  });
  const timer = createReadingTimer(registry.recordUnshared);
  const exchange = createPaceExchange({
    clock,
    registry,
    sendUpdate: (paces) => {
      metrics.unevenServices.set(registry.countUneven());
      peers.reporter.recordPaces(paces);
    },
    sendNotice: (paces) => peers.peerServer.notifyAll(makeNotice({ paces })),
    isHub: peers.isForwarding,
  });
  const recordSlow = ({ entry: { id: server, service } }: BackendServer) => {
    registry.recordSlow(server, service);
    peers.reporter.recordPaces([{ server, service, age: 0 as Ms, isSlow: true }]);
  };

  return {
    registry,
    observer: {
      record: registry.record,
      recordSlow,
      estimateWork: (service) =>
        registry.readService(service)?.findMedian("answer") as Ms | undefined,
    },
    onRunChange: observePrompts({
      clock,
      timer,
      findService: (server) => findEntry(server)?.service,
    }),
    drop: (server) => {
      registry.drop(server);
      timer.drop(server);
    },
    stop: exchange.stop,
  };
};
