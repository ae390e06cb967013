/** Gives every request one cause, and sums them up. Pure. */
import { groupBy } from "./groupBy.js";
import { describeCause, judgeCause } from "./judgeCause.js";
import type { Chronicle, RequestAccount, RequestStory } from "./types.js";

const MS_PER_S = 1000;

/** Stands for the route of a request that has none, or whose lines do not name it. */
const NO_ROUTE = "(none)";

const findRoute = ({ lines }: RequestStory): string => {
  const named = lines.find(({ fields }) => typeof fields["route"] === "string");
  return named ? String(named.fields["route"]) : NO_ROUTE;
};

/** Accounts for each request of the chronicle, and for those that callers sent and no box wrote of. */
export const collectAccounts = (
  chronicle: Chronicle,
  asked: readonly string[] = [],
): readonly RequestAccount[] => {
  const accounts = chronicle.stories.map((story) => ({
    request: story.request,
    route: findRoute(story),
    cause: judgeCause(story, chronicle),
    second: Math.floor((story.lines[0]!.sharedAt - chronicle.beginsAt) / MS_PER_S),
  }));
  const known = new Set(accounts.map(({ request }) => request));
  const missing = [...new Set(asked)].filter((request) => !known.has(request));
  return [
    ...accounts,
    ...missing.map((request) => ({
      request,
      route: NO_ROUTE,
      cause: { kind: "never_reached" } as const,
      second: 0,
    })),
  ];
};

/** How many requests of a route met one cause, and when. */
export type LossCount = Readonly<{
  route: string;
  cause: string;
  requests: number;
  /** Share of the route's requests. */
  share: number;
  /** What they would have been worth, by the figures given for routes; 1 a request otherwise. */
  worth: number;
  /** The second in which most of them came, and how many those were. */
  worstSecond: number;
  inWorstSecond: number;
}>;

const countBySecond = (accounts: readonly RequestAccount[]): Map<number, number> => {
  const counts = new Map<number, number>();
  for (const { second } of accounts) counts.set(second, (counts.get(second) ?? 0) + 1);
  return counts;
};

/** Counts by route and cause, what is worth most first. */
export const countLosses = (
  accounts: readonly RequestAccount[],
  worthOfRoute: ReadonlyMap<string, number> = new Map(),
): readonly LossCount[] => {
  const byRoute = groupBy(accounts, ({ route }) => route);
  const counts = [...byRoute].flatMap(([route, ofRoute]) =>
    [...groupBy(ofRoute, ({ cause }) => describeCause(cause))].map(([cause, own]) => {
      const [worstSecond, inWorstSecond] = [...countBySecond(own)].reduce((a, b) =>
        b[1] > a[1] ? b : a,
      );
      return {
        route,
        cause,
        requests: own.length,
        share: own.length / ofRoute.length,
        worth: own.length * (worthOfRoute.get(route) ?? 1),
        worstSecond,
        inWorstSecond,
      };
    }),
  );
  return counts.sort((a, b) => b.worth - a.worth);
};
