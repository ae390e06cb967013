/**
 * Creates the registry of limits that backend servers announce, to this box or to other boxes.
 */
import { toBoottimeClock, type Clock, type ServiceName } from "@stairgauge/common";
import type { ServerDirectory } from "@stairgauge/directory";
import {
  createRenewalGatherer,
  createServerLimits,
  type LimitUpdate,
  type ServerLimits,
} from "@stairgauge/limits";
import type { FleetPlaces } from "@stairgauge/placement";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import type { Peers } from "./createPeers.js";
import { observeLimits } from "./observers.js";

export type LimitsOptions = Readonly<{
  clock: Clock;
  log: DecisionLog;
  metrics: BoxMetrics;
  places: Pick<FleetPlaces, "computePart">;
  isPlacedByHubs: (service: ServiceName) => boolean;
  peers: Pick<Peers, "reporter" | "isForwarding" | "forward">;
  getParts: () => Readonly<{ directory: Pick<ServerDirectory, "find"> }>;
}>;

/** Creates the registry; no limit is on record. */
export const createLimits = (options: LimitsOptions): ServerLimits => {
  const { clock, log, metrics, places, isPlacedByHubs, peers, getParts } = options;

  const sendUpdate = (update: LimitUpdate) => peers.forward({ limits: update });
  const enqueueRenewal = createRenewalGatherer({
    clock,
    getRegistry: () => limits,
    send: sendUpdate,
  });
  const handleUpdate = (update: LimitUpdate, isRenewal: boolean) => {
    if (!isRenewal) sendUpdate(update);
    else if (peers.isForwarding()) enqueueRenewal(update);
  };
  const limits: ServerLimits = createServerLimits({
    clock,
    agingClock: toBoottimeClock(clock),
    places,
    isPlacedByHubs,
    isListed: (server) => getParts().directory.find(server) !== undefined,
    onOwnUpdate: peers.reporter.recordLimits,
    onSharedUpdate: handleUpdate,
    onEvent: observeLimits({
      log,
      metrics,
      listLimits: () => limits.makeUpdate().named,
    }),
  });
  return limits;
};
