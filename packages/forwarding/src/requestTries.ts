/** The servers that one request has been sent to, and whether it may be sent to another. */
import type { Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { Demand, PlacementDecision } from "@stairgauge/placement";
import { NO_SIGNALS, type ServerSignals } from "@stairgauge/signals";
import type { Verdict } from "./decideNext.js";
import type { AdmittedRequest, ForwarderDeps } from "./forwarderTypes.js";

/** Attempts that never reached a server before the request is given up. */
const MAX_UNREACHED = 3;

/** Servers that may turn a request away for reasons of their own before it is given up. */
const MAX_TURNED_AWAY = 3;

/** What an attempt's end says of the server that it went to. */
export type TryEnd =
  /** No connection came up. */
  | "unreached"
  /** It rests or leaves and did not run the request, which says nothing of the others. */
  | "turned_away"
  /** It may have run the request, or had no room for it: it was the one with the most. */
  | "counts";

/** Judges an attempt that has ended. */
export const judgeTry = (
  wasSent: boolean,
  verdict: Verdict,
  signs: ServerSignals = NO_SIGNALS,
): TryEnd => {
  if (!wasSent) return "unreached";
  const isOwnReason = signs.rest.kind === "asked" || signs.leaving.kind === "leaving";
  return verdict === "not_run" && isOwnReason ? "turned_away" : "counts";
};

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
  /** An attempt has ended, or is given up. */
  recordEnd: (end: TryEnd) => void;
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
  const ended: Record<TryEnd, number> = { unreached: 0, turned_away: 0, counts: 0 };

  const choose = () => placer.choose(service, demand, tried);
  const takeBudget = () => budget.take(service, clock.monotonic());
  const countSent = () => ended.turned_away + ended.counts;
  const recordEnd = (end: TryEnd) => {
    ended[end] += 1;
  };

  const canRetry = (): boolean => {
    if (ended.unreached >= MAX_UNREACHED) return false;
    if (ended.turned_away >= MAX_TURNED_AWAY) return false;
    // A server that turned it away leaves as many servers as before that may run it, and others may be free.
    if (ended.counts >= route.maxServers) return false;
    if (((endsAt - clock.monotonic()) as Ms) <= 0) return false;
    if (!mayRepeat()) return false;
    return choose().kind === "placed";
  };
  /** What never reached a server is no repeat. */
  const takeRetry = () => canRetry() && (countSent() === 0 || takeBudget());

  return {
    tried,
    countSent,
    choose,
    recordChosen: (server) => void tried.add(server),
    recordEnd,
    takeRetry,
    takeRetryInstead: (wasSent) => {
      if (wasSent) ended.counts += 1;
      const isTaken = takeRetry();
      if (wasSent && !isTaken) ended.counts -= 1;
      return isTaken;
    },
    takeRunAnew: () => {
      const hasLeft = ended.counts < route.maxServers;
      const isAllowed = route.isResumable && mayRepeat() && hasLeft;
      if (!isAllowed || !takeBudget()) return undefined;
      const decision = choose();
      if (decision.kind === "no_server") return undefined;
      ended.counts += 1;
      tried.add(decision.server.entry.id);
      return decision;
    },
  };
};
