/** Wires together what a box knows of the limits that backend servers name: what it hears itself, and what other boxes tell. */
import { toAgingClock, type Clock, type ServiceName } from "@stairgauge/common";
import type { ServerAddress, ServerDirectory } from "@stairgauge/directory";
import {
  createRenewalGatherer,
  createServerLimits,
  type LimitNews,
  type LimitSign,
  type ServerLimits,
} from "@stairgauge/limits";
import {
  hasHubs,
  makeNotice,
  type PeerLinks,
  type PeerServer,
  type RunTeller,
} from "@stairgauge/peers";
import type { FleetPlaces } from "@stairgauge/placement";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import { observeLimits } from "./observers.js";

/** What it needs of the rest of a box. */
export type LimitsOptions = Readonly<{
  clock: Clock;
  log: DecisionLog;
  metrics: BoxMetrics;
  places: Pick<FleetPlaces, "computePart">;
  isPlacedByHubs: (service: ServiceName) => boolean;
  getDirectory: () => Pick<ServerDirectory, "find" | "list">;
  getLinks: () => Pick<PeerLinks, "countBoxes" | "isHub">;
  getTeller: () => Pick<RunTeller, "takeLimits">;
  getPeerServer: () => Pick<PeerServer, "notifyAll">;
}>;

/** Creates the limits; none is known. */
export const createLimits = (options: LimitsOptions): ServerLimits => {
  const { clock, log, metrics, places, isPlacedByHubs } = options;
  const { getDirectory, getLinks, getTeller, getPeerServer } = options;

  const isHub = () => hasHubs(getLinks().countBoxes()) && getLinks().isHub();
  const notifyAll = (news: LimitNews) =>
    getPeerServer().notifyAll(makeNotice({ limits: news }));
  const takeRenewal = createRenewalGatherer({
    clock,
    getBook: () => limits,
    send: notifyAll,
  });
  /** Where boxes are linked to hubs only, a hub hands on what is news to it. */
  const passOn = (news: LimitNews, isRenewal: boolean) => {
    if (!isHub()) return;
    if (isRenewal) takeRenewal(news);
    else notifyAll(news);
  };
  const limits: ServerLimits = createServerLimits({
    clock,
    agingClock: toAgingClock(clock),
    places,
    isPlacedByHubs,
    isListed: (server) => getDirectory().find(server) !== undefined,
    onOwnNews: (news) => getTeller().takeLimits(news),
    onSharedNews: passOn,
    onEvent: observeLimits({
      log,
      metrics,
      listLimits: () => limits.listNews().named,
    }),
  });
  return limits;
};

/** Takes what an engine names in its answer to a call that is no request; whoever leaves has no say any more. */
export const takeEngineSign = (
  directory: Pick<ServerDirectory, "list">,
  limits: Pick<ServerLimits, "takeSign">,
  { host, port }: ServerAddress,
  sign: LimitSign,
): void => {
  const listed = directory
    .list()
    .filter(({ entry }) => entry.address.host === host && entry.address.port === port)
    .filter(({ leaving }) => leaving === undefined);
  for (const { entry } of listed) limits.takeSign(entry.id, sign, undefined);
};
