/**
 * Which boxes ask an engine for its report. Two of the hubs, so that a frozen one leaves no gap; they tell the other hubs, and
 * the calls at an engine do not grow with the boxes.
 */
import type { BoxName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { PeerLinks } from "./peerLinks.js";
import { rankByHash } from "./rankStoreReaders.js";

/** Boxes that watch one engine. */
const WATCHERS = 2;

/** What this box watches. */
export type WatchShares = Readonly<{
  isWatcher: (server: ServerId) => boolean;
  /** How many boxes watch each engine; alone, a box watches them all by itself. */
  countWatchers: () => number;
}>;

/** Shares engines out among the hubs. */
export const createWatchShares = (
  own: BoxName,
  links: Pick<PeerLinks, "listHubs">,
): WatchShares => {
  let members: ReadonlySet<BoxName> = new Set([own]);
  let known = new Map<ServerId, boolean>();

  const updateMembers = () => {
    const hubs = links.listHubs();
    if (hubs.length === members.size && hubs.every((box) => members.has(box))) return;
    members = new Set(hubs);
    known = new Map();
  };

  return {
    isWatcher: (server) => {
      updateMembers();
      const isKnown = known.get(server);
      if (isKnown !== undefined) return isKnown;
      const isOurs = rankByHash([...members], server)
        .slice(0, WATCHERS)
        .includes(own);
      known.set(server, isOurs);
      return isOurs;
    },
    countWatchers: () => {
      updateMembers();
      return Math.min(WATCHERS, members.size);
    },
  };
};
