/** Keeps track of the servers that one request was sent to, and decides whether it may be sent to another. */
import type { Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { Demand, PlacementDecision } from "@stairgauge/placement";
import { NO_SIGNALS, type ServerSignals } from "@stairgauge/signals";
import type { Verdict } from "./decideNext.js";
import type { AdmittedRequest } from "./admittedRequest.js";
import type { ForwarderDeps } from "./forwarderTypes.js";

/** Attempts without a connection after which the request is given up. */
const MAX_UNREACHED = 3;

/** Rejections by servers that back off or leave after which the request is given up. */
const MAX_TURNED_AWAY = 3;

/** Result of an attempt, as far as it counts against the limits. */
export type AttemptResult =
  /** No connection was established. */
  | "unreached"
  /** The server did not run the request because it backs off or leaves; other servers may still run it. */
  | "turned_away"
  /**
   * The server may have run the request, or it was full. It was chosen as the one with the most free
   * capacity, so the others are probably full too.
   */
  | "counts";

/** Classifies an attempt that has ended. */
export const classifyAttempt = (
  wasSent: boolean,
  verdict: Verdict,
  signals: ServerSignals = NO_SIGNALS,
): AttemptResult => {
  if (!wasSent) return "unreached";
  const isServerReason =
    signals.rest.kind === "asked" || signals.leaving.kind === "leaving";
  return verdict === "not_run" && isServerReason ? "turned_away" : "counts";
};

/** Options of the attempts. */
export type RequestAttemptsOptions = Readonly<{
  deps: Pick<ForwarderDeps, "budget" | "clock" | "placer">;
  request: Pick<AdmittedRequest, "route" | "service" | "endsAt">;
  /** What the next server must offer; more is asked of it once the stream has begun. */
  getDemand: () => Demand;
  /** False if too many servers crashed under the request for another attempt. */
  mayRepeat: () => boolean;
}>;

/** The attempts of one request. */
export type RequestAttempts = Readonly<{
  /** Servers chosen so far. */
  tried: ReadonlySet<ServerId>;
  /** Number of attempts that may have reached their servers. */
  countSent: () => number;
  /** Chooses among the servers that have not been tried. */
  choose: () => PlacementDecision;
  recordChosen: (server: ServerId) => void;
  /** Records the result of an attempt that has ended or is given up. */
  recordEnd: (end: AttemptResult) => void;
  /** Whether the request could be sent again if the open attempt ended like this. */
  mayRetryAfter: (end: AttemptResult) => boolean;
  /** Whether the request may be sent again after the attempts that ended; true takes from the retry budget. */
  takeRetry: () => boolean;
  /** Like `takeRetry`, for an attempt that is still open; the attempt counts only if the result is true. */
  takeRetryWhileOpen: (wasSent: boolean) => boolean;
  /**
   * Chooses a server for a new run of a stream that has started. The server counts as sent to.
   * Undefined if no new run is allowed or no server is left.
   */
  takeNewRun: () => Extract<PlacementDecision, { kind: "placed" }> | undefined;
}>;

/** Creates the attempts of a request that has not been sent. */
export const createRequestAttempts = (
  options: RequestAttemptsOptions,
): RequestAttempts => {
  const { deps, request, getDemand, mayRepeat } = options;
  const { budget, clock, placer } = deps;
  const { route, service, endsAt } = request;
  const tried = new Set<ServerId>();
  const ended: Record<AttemptResult, number> = {
    unreached: 0,
    turned_away: 0,
    counts: 0,
  };

  const choose = () => placer.choose(service, getDemand(), tried);
  const takeFromBudget = () => budget.take(service, clock.monotonic());
  const countSent = () => ended.turned_away + ended.counts;
  const recordEnd = (end: AttemptResult) => {
    ended[end] += 1;
  };

  const canRetry = (): boolean => {
    if (ended.unreached >= MAX_UNREACHED) return false;
    if (ended.turned_away >= MAX_TURNED_AWAY) return false;
    // Servers that turned the request away don't count here: they did not run it, and others may be free.
    if (ended.counts >= route.maxServers) return false;
    if (((endsAt - clock.monotonic()) as Ms) <= 0) return false;
    if (!mayRepeat()) return false;
    return choose().kind === "placed";
  };
  /** A request that never reached a server costs no budget, as sending it again is no repeat. */
  const takeRetry = () => canRetry() && (countSent() === 0 || takeFromBudget());

  const mayRetryAfter = (end: AttemptResult) => {
    ended[end] += 1;
    const mayRetry =
      canRetry() && (countSent() === 0 || budget.has(service, clock.monotonic()));
    ended[end] -= 1;
    return mayRetry;
  };

  return {
    tried,
    countSent,
    choose,
    mayRetryAfter,
    recordChosen: (server) => void tried.add(server),
    recordEnd,
    takeRetry,
    takeRetryWhileOpen: (wasSent) => {
      if (wasSent) ended.counts += 1;
      const isTaken = takeRetry();
      if (wasSent && !isTaken) ended.counts -= 1;
      return isTaken;
    },
    takeNewRun: () => {
      const hasLeft = ended.counts < route.maxServers;
      const isAllowed = route.isResumable && mayRepeat() && hasLeft;
      if (!isAllowed || !takeFromBudget()) return undefined;
      const decision = choose();
      if (decision.kind === "no_server") return undefined;
      ended.counts += 1;
      tried.add(decision.server.entry.id);
      return decision;
    },
  };
};
