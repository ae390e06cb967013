/** The servers that one request has been sent to, and whether it may be sent to another. */
import type { Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { Demand, PlacementDecision } from "@stairgauge/placement";
import type { AdmittedRequest, ForwarderDeps } from "./forwarderTypes.js";

/** Attempts that never reached a server before the request is given up. */
const MAX_UNREACHED = 3;

/** What counting needs. */
export type RequestTriesParts = Readonly<{
  deps: Pick<ForwarderDeps, "budget" | "clock" | "placer">;
  request: Pick<AdmittedRequest, "route" | "service" | "endsAt">;
  demand: Demand;
  /** Whether servers that ended under it forbid another one. */
  mayRepeat: () => boolean;
}>;

/** The tries of one request. */
export type RequestTries = Readonly<{
  /** The servers chosen so far. */
  tried: ReadonlySet<ServerId>;
  /** Attempts that may have reached their servers. */
  countSent: () => number;
  /** Chooses among the servers that are left. */
  choose: () => PlacementDecision;
  /** A server has been chosen. */
  recordChosen: (server: ServerId) => void;
  /** An attempt has ended, or is given up; only one that was sent may have run. */
  recordEnd: (wasSent: boolean) => void;
  /** Whether the request may be sent once more after what ended; a yes takes from the budget of repeats. */
  takeRetry: () => boolean;
  /** The same for an attempt that is still open, and counts only if it is given up. */
  takeRetryInstead: (wasSent: boolean) => boolean;
  /** Chooses a server for a new run of a stream that has begun; a server taken counts as sent to. */
  takeRunAnew: () => Extract<PlacementDecision, { kind: "placed" }> | undefined;
}>;

/** Creates the tries of a request that has been sent nowhere. */
export const createRequestTries = (parts: RequestTriesParts): RequestTries => {
  const { deps, request, demand, mayRepeat } = parts;
  const { budget, clock, placer } = deps;
  const { route, service, endsAt } = request;
  const tried = new Set<ServerId>();
  let sent = 0;
  let unreached = 0;

  const choose = () => placer.choose(service, demand, tried);
  const takeBudget = () => budget.take(service, clock.monotonic());
  const recordEnd = (wasSent: boolean) => {
    if (wasSent) sent += 1;
    else unreached += 1;
  };

  const canRetry = (): boolean => {
    if (unreached >= MAX_UNREACHED) return false;
    if (sent >= route.maxServers) return false;
    if (((endsAt - clock.monotonic()) as Ms) <= 0) return false;
    if (!mayRepeat()) return false;
    return choose().kind === "placed";
  };
  /** What never reached a server is no repeat. */
  const takeRetry = () => canRetry() && (sent === 0 || takeBudget());

  return {
    tried,
    countSent: () => sent,
    choose,
    recordChosen: (server) => void tried.add(server),
    recordEnd,
    takeRetry,
    takeRetryInstead: (wasSent) => {
      if (wasSent) sent += 1;
      const isTaken = takeRetry();
      if (wasSent && !isTaken) sent -= 1;
      return isTaken;
    },
    takeRunAnew: () => {
      const isAllowed = route.isResumable && mayRepeat() && sent < route.maxServers;
      if (!isAllowed || !takeBudget()) return undefined;
      const decision = choose();
      if (decision.kind === "no_server") return undefined;
      sent += 1;
      tried.add(decision.server.entry.id);
      return decision;
    },
  };
};
