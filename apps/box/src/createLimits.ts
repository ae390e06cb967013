/** Wires together what a box knows of the limits that backend servers name: what it hears itself, and what other boxes tell. */
import { toAgingClock, type Clock, type ServiceName } from "@stairgauge/common";
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

/** What it needs of the rest of a box. */
export type LimitsOptions = Readonly<{
  clock: Clock;
  log: DecisionLog;
  metrics: BoxMetrics;
  places: Pick<FleetPlaces, "computePart">;
  isPlacedByHubs: (service: ServiceName) => boolean;
  peers: Pick<Peers, "teller" | "isHandingOn" | "passOn">;
  getDirectory: () => Pick<ServerDirectory, "find">;
}>;

/** Creates them; no limit is known. */
export const createLimits = (options: LimitsOptions): ServerLimits => {
  const { clock, log, metrics, places, isPlacedByHubs, peers, getDirectory } = options;

  const sendNews = (news: LimitUpdate) => peers.passOn({ limits: news });
  const takeRenewal = createRenewalGatherer({
    clock,
    getBook: () => limits,
    send: sendNews,
  });
  const passOn = (news: LimitUpdate, isRenewal: boolean) => {
    if (!isRenewal) sendNews(news);
    else if (peers.isHandingOn()) takeRenewal(news);
  };
  const limits: ServerLimits = createServerLimits({
    clock,
    agingClock: toAgingClock(clock),
    places,
    isPlacedByHubs,
    isListed: (server) => getDirectory().find(server) !== undefined,
    onOwnUpdate: peers.teller.takeLimits,
    onSharedUpdate: passOn,
    onEvent: observeLimits({
      log,
      metrics,
      listLimits: () => limits.makeUpdate().named,
    }),
  });
  return limits;
};
