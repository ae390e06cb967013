/**
 * Places plain requests. While a service is open, the box chooses and sends at once. While it is
 * contended, the admitting box places the requests of all boxes and queues those without a slot; a box
 * that gets no answer from it uses its safe part of the slots, and refuses what exceeds it.
 */
import type {
  Clock,
  Ms,
  RegionName,
  ServiceName,
  WorkspaceName,
} from "@stairgauge/common";
import type { BackendServer, ServerId } from "@stairgauge/directory";
import type { PlacementDecision, PlaceUrgency } from "@stairgauge/placement";
import { awaitAdvice, type AdvisedSteps } from "./placeByAdvice.js";
import type { RequestHead } from "./types.js";

/** A plain request to be placed; servers in `except` are not chosen. */
export type PlainRequest = Readonly<{
  head: RequestHead;
  service: ServiceName;
  /** Priority, 0 is the highest. */
  tier: number;
  regions: readonly RegionName[] | undefined;
  workspace: WorkspaceName | undefined;
  /** Requests of one subject are kept in order. It is sent to other boxes, so it must not be a key. */
  subject: string | undefined;
  /** Target time of the answer, and its deadline. */
  aimAt: Ms;
  endsAt: Ms;
  /** Expected time from sending the request to its answer; 0 if unknown. */
  workMs: Ms;
  except: ReadonlySet<ServerId>;
}>;

/** A decision about a plain request; `by` is the box that made it, undefined if this box did. */
export type PlainAdvice = Readonly<{
  kind: "decided";
  decision: PlacementDecision;
  by?: string | undefined;
}>;

/** The admission of plain requests, as the forwarder uses it. */
export type PlainAdmission = Readonly<{
  /** Whether the admitting box has to place the request; otherwise this box does, within its part of the connections. */
  needsAdmission: (request: PlainRequest) => boolean;
  /**
   * Makes the service contended if this box's part of the servers' connections is used up: the admitting box then
   * shares them by need.
   */
  checkConnections: (request: PlainRequest) => void;
  /** A request of an open service was placed: as the admitting box, checks whether its slots are used up. */
  onOpenPlaced: (service: ServiceName) => void;
  /** Which box admits; `none` if this box can reach none that it may rely on. */
  findAdmitting: (service: ServiceName) => "own" | "other" | "none";
  /** Places or queues the request at this box, or fails it if that throws; the returned function cancels it. */
  admitHere: (
    request: PlainRequest,
    steps: Readonly<{
      decide: (decision: PlacementDecision) => void;
      fail: AdvisedSteps["fail"];
    }>,
  ) => () => void;
  /**
   * Asks the admitting box, which queues a request without a slot and answers `waits`, at the latest
   * after the time that `urgency` states. Undefined if no answer arrived in time.
   */
  ask: (
    request: PlainRequest,
    urgency: PlaceUrgency,
    signal: AbortSignal,
  ) => Promise<PlainAdvice | Readonly<{ kind: "waits" }> | undefined>;
  /**
   * A plain server rejected a request of this box because it was full. The request must no longer be
   * on record, as those that remain are the server's usable slots.
   */
  onRejected: (server: BackendServer) => void;
  /** Places the request within this box's own part of the slots or connections, or refuses it. */
  placeWithinOwnPart: (request: PlainRequest) => PlacementDecision;
}>;

type Deps = Readonly<{ clock: Pick<Clock, "monotonic">; plainAdmission: PlainAdmission }>;

/**
 * Longest time for which one question waits. Each answer shows that the admitting box still has the
 * request, so a link that fell silent costs a waiting request this much.
 */
const WAIT_SLICE_MS = 500;

/** Asks until the request is placed or refused; undefined if the admitting box does not answer. */
const askUntilDecided = async (
  { clock, plainAdmission }: Deps,
  request: PlainRequest,
  signal: AbortSignal,
  onWaiting: () => void,
): Promise<PlainAdvice | undefined> => {
  let answer = await plainAdmission.ask(request, { kind: "if_room" }, signal);
  if (answer?.kind === "waits" && !signal.aborted) onWaiting();
  while (answer?.kind === "waits" && !signal.aborted) {
    const left = request.endsAt - clock.monotonic();
    const wait = Math.max(0, Math.min(WAIT_SLICE_MS, left)) as Ms;
    if (wait === 0) return undefined;
    answer = await plainAdmission.ask(request, { kind: "within", wait }, signal);
  }
  return answer?.kind === "decided" ? answer : undefined;
};

/** Callbacks of a placement. */
export type PlainSteps = Pick<AdvisedSteps, "place" | "report" | "fail"> &
  Readonly<{
    /** Places the request while its service is open; the returned function cancels the placement. */
    placeOpen: () => () => void;
  }>;

/** Places a request, for the first time or again; the returned function cancels the placement while it waits. */
export const placePlainRequest = (
  deps: Deps,
  request: PlainRequest,
  { placeOpen, place, report, fail }: PlainSteps,
): (() => void) => {
  const { plainAdmission } = deps;
  const reportWaiting = () =>
    report({ kind: "waits", memoryAfter: 0, waiting: undefined });
  plainAdmission.checkConnections(request);
  if (!plainAdmission.needsAdmission(request)) {
    const cancel = placeOpen();
    plainAdmission.onOpenPlaced(request.service);
    return cancel;
  }
  const admitting = plainAdmission.findAdmitting(request.service);
  if (admitting === "own")
    return plainAdmission.admitHere(request, { decide: place, fail });
  if (admitting === "none") {
    place(plainAdmission.placeWithinOwnPart(request));
    return () => undefined;
  }
  const call = new AbortController();
  const ask = (signal: AbortSignal) =>
    askUntilDecided(deps, request, signal, reportWaiting);
  void awaitAdvice(ask, call.signal, report)
    .then((advice) => {
      if (call.signal.aborted) return;
      if (advice) place(advice.decision, advice.by);
      else place(plainAdmission.placeWithinOwnPart(request));
    })
    .catch(fail);
  return () => call.abort();
};
