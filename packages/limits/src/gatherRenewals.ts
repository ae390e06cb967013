/** Gathers limits that are heard again, so that what a hub hands on doesn't grow with the servers in need. */
import type { Clock, Ms, Timer } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { LimitRegistry } from "./limitRegistry.js";
import type { LimitUpdate } from "./types.js";

/** Renewals within this time go out together: a box counts a limit as old after much longer. */
const GATHER_MS = 500 as Ms;

/** What gathering needs. */
export type RenewalOptions = Readonly<{
  clock: Pick<Clock, "setTimer">;
  getBook: () => Pick<LimitRegistry, "makeUpdate">;
  send: (news: LimitUpdate) => void;
}>;

/** Creates the gatherer: the function takes renewals, which go out as they stand when their time is over. */
export const createRenewalGatherer = (options: RenewalOptions) => {
  const { clock, getBook, send } = options;
  const servers = new Set<ServerId>();
  let timer: Timer | undefined;

  const sendGathered = () => {
    timer = undefined;
    const news = getBook().makeUpdate(servers);
    servers.clear();
    if (news.named.length > 0) send(news);
  };

  return (news: LimitUpdate): void => {
    for (const { server } of news.named) servers.add(server);
    timer ??= clock.setTimer(GATHER_MS, sendGathered);
  };
};
