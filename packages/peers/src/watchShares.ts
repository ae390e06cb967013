/**
 * Chooses the boxes that poll an engine for its report: two of the hubs, so that reports still arrive when one is frozen. They
 * send the reports to the other hubs, so the number of calls to an engine does not grow with the number of boxes.
 */
import type { BoxName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { PeerLinks } from "./peerLinks.js";
import { rankByHash } from "./rankStoreReaders.js";

/** Number of boxes that poll one engine. */
const WATCHERS_PER_ENGINE = 2;

/** Which engines this box polls. */
export type WatchShares = Readonly<{
  isWatcher: (server: ServerId) => boolean;
  /** How many boxes poll each engine; 1 when the box is alone. */
  countWatchers: () => number;
}>;

/** Distributes the engines among the hubs. */
export const createWatchShares = (
  own: BoxName,
  links: Pick<PeerLinks, "listHubs">,
): WatchShares => {
  let members: ReadonlySet<BoxName> = new Set([own]);
  let isWatcherByServer = new Map<ServerId, boolean>();

  const updateMembers = () => {
    const hubs = links.listHubs();
    if (hubs.length === members.size && hubs.every((box) => members.has(box))) return;
    members = new Set(hubs);
    isWatcherByServer = new Map();
  };

  return {
    isWatcher: (server) => {
      updateMembers();
      const cached = isWatcherByServer.get(server);
      if (cached !== undefined) return cached;
      const isOwn = rankByHash([...members], server)
        .slice(0, WATCHERS_PER_ENGINE)
        .includes(own);
      isWatcherByServer.set(server, isOwn);
      return isOwn;
    },
    countWatchers: () => {
      updateMembers();
      return Math.min(WATCHERS_PER_ENGINE, members.size);
    },
  };
};
