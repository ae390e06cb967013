/**
 * Finds and asks the admitting box, which places the plain requests of contended services: the first hub in the order of
 * hubs, and in a full mesh the first box in that order.
 */
import type { BoxName, Clock } from "@stairgauge/common";
import { createEjectingAsker, type AskScope, type HubAsker } from "./hubAsker.js";
import { countHubs } from "./hubs.js";
import type { PeerLinks } from "./peerLinks.js";

/** Options of the asker. */
export type AdmittingAskerOptions = Readonly<{
  clock: Clock;
  own: BoxName;
  links: Pick<PeerLinks, "listHubs" | "listConnected" | "countBoxes" | "findPlace">;
  /** A box did not answer in time, and is not asked for a while. */
  onEjected: (box: BoxName) => void;
}>;

/** Which box admits: this one, another one, or none that this box may rely on. */
export type AdmittingBox = "own" | "other" | "none";

/**
 * Asks the admitting box. Its ejections are separate from those for generations, whose questions have a longer time limit.
 */
export type AdmittingAsker = Readonly<{
  /** Within `first_only` an ejected box has no successor, so that only one box admits. */
  find: (scope?: AskScope) => AdmittingBox;
  ask: HubAsker["ask"];
}>;

/** Creates the asker. */
export const createAdmittingAsker = (options: AdmittingAskerOptions): AdmittingAsker => {
  const { own, links } = options;

  /**
   * Whether this box has the records of the others. A box that is cut off from most hubs would take itself for the first
   * one, and admit as many requests as all boxes together may send.
   */
  const isInMajority = (connected: number): boolean => {
    const place = links.findPlace();
    return place !== undefined && (connected + 1) * 2 > countHubs(links.countBoxes());
  };
  const asker = createEjectingAsker({
    ...options,
    find: (isUsable) => {
      const up = new Set(links.listConnected().map(({ box }) => box));
      const mayBeOwn = isInMajority(up.size);
      return links
        .listHubs()
        .find((box) => (box === own ? mayBeOwn : up.has(box) && isUsable(box)));
    },
  });

  return {
    find: (scope) => {
      const box = asker.findHub(scope);
      if (box === undefined) return "none";
      return box === own ? "own" : "other";
    },
    ask: async (question) =>
      asker.findHub(question.scope) === own ? undefined : asker.ask(question),
  };
};
