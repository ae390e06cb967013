/** Assigns one cause to every request and counts the causes by route. Pure. */
import { groupBy } from "./groupBy.js";
import { describeCause, classifyCause } from "./classifyCause.js";
import type { Timeline, RequestAccount, RequestLog } from "./types.js";

const MS_PER_S = 1000;

/** Placeholder for a request without a route, or whose log lines do not name one. */
const NO_ROUTE = "(none)";

const findRoute = ({ lines }: RequestLog): string => {
  const lineWithRoute = lines.find(({ fields }) => typeof fields["route"] === "string");
  return lineWithRoute ? String(lineWithRoute.fields["route"]) : NO_ROUTE;
};

/**
 * Returns one account for each request of the timeline at each run of a box. Requests in `asked` (ids that callers sent)
 * that no box logged are added with the cause `never_reached`.
 */
export const collectAccounts = (
  timeline: Timeline,
  asked: readonly string[] = [],
): readonly RequestAccount[] => {
  const accounts = timeline.requestLogs.map((requestLog) => ({
    request: requestLog.request,
    route: findRoute(requestLog),
    cause: classifyCause(requestLog, timeline),
    second: Math.floor((requestLog.lines[0]!.timelineAt - timeline.beginsAt) / MS_PER_S),
  }));
  const knownIds = new Set(accounts.map(({ request }) => request));
  const missing = [...new Set(asked)].filter((request) => !knownIds.has(request));
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

/** How many requests of one route have the same cause, and when most of them arrived. */
export type LossCount = Readonly<{
  route: string;
  cause: string;
  requests: number;
  /** Fraction of the route's requests, between 0 and 1. */
  share: number;
  /** Sum of the requests' worth: the figure given for the route, or 1 per request. */
  worth: number;
  /** The second, counted from the first log line, in which most of them arrived. */
  worstSecond: number;
  /** How many of them arrived in `worstSecond`. */
  inWorstSecond: number;
}>;

const countBySecond = (accounts: readonly RequestAccount[]): Map<number, number> => {
  const counts = new Map<number, number>();
  for (const { second } of accounts) counts.set(second, (counts.get(second) ?? 0) + 1);
  return counts;
};

/** Counts requests by route and cause; sorted by worth, highest first. */
export const countLosses = (
  accounts: readonly RequestAccount[],
  worthOfRoute: ReadonlyMap<string, number> = new Map(),
): readonly LossCount[] => {
  const byRoute = groupBy(accounts, ({ route }) => route);
  const counts = [...byRoute].flatMap(([route, ofRoute]) =>
    [...groupBy(ofRoute, ({ cause }) => describeCause(cause))].map(([cause, ofCause]) => {
      const [worstSecond, inWorstSecond] = [...countBySecond(ofCause)].reduce((a, b) =>
        b[1] > a[1] ? b : a,
      );
      return {
        route,
        cause,
        requests: ofCause.length,
        share: ofCause.length / ofRoute.length,
        worth: ofCause.length * (worthOfRoute.get(route) ?? 1),
        worstSecond,
        inWorstSecond,
      };
    }),
  );
  return counts.sort((a, b) => b.worth - a.worth);
};
