/**
 * Places the plain requests of contended services, at the admitting box: for other boxes that ask it,
 * and for itself by the same code. A request that finds no free slot waits in the admission queue.
 */
import {
  CONTENDED_UTILIZATION,
  countPresent,
  type AdmissionEvent,
  type Contention,
  type UsableSlots,
} from "@stairgauge/capacity";
import type { AdmissionQueue } from "@stairgauge/admission";
import { runEach, type Clock, type Ms, type ServiceName } from "@stairgauge/common";
import type {
  BackendServer,
  ServerDirectory,
  ServerEntry,
  ServerId,
} from "@stairgauge/directory";
import type {
  CapacityRefusal,
  Demand,
  LoadRegistry,
  PlacementDecision,
  PlainTerms,
} from "@stairgauge/placement";
import type { FleetPlacer, RequestOwner } from "./createPlacer.js";

/** Dependencies of the admission. */
export type PlainAdmitterOptions = Readonly<{
  clock: Clock;
  registry: LoadRegistry;
  placer: Pick<FleetPlacer, "chooseWithRoom">;
  directory: Pick<ServerDirectory, "find" | "listReady">;
  contention: Pick<
    Contention,
    "onSign" | "getContendedFor" | "isContended" | "isShortOfSlots"
  >;
  usable: UsableSlots;
  queue: Pick<AdmissionQueue, "add" | "onRoom">;
  onEvent: (event: AdmissionEvent) => void;
}>;

/** A request to be admitted. */
export type PlainEntry = Readonly<{
  box: string;
  owner: RequestOwner;
  service: ServiceName;
  demand: Demand;
  except: ReadonlySet<ServerId>;
  terms: PlainTerms;
}>;

/** A decision of the admitting box. */
export type PlainDecision =
  | PlacementDecision
  | Readonly<{ kind: "refused"; reason: CapacityRefusal; retryAfter: Ms }>;

/** What the admission of a request ends with; one of them is called once, perhaps at once. */
export type AdmissionSteps = Readonly<{
  /** Records the request before it returns. */
  decide: (decision: PlainDecision) => void;
  /** Placing the request threw; it no longer waits. */
  fail: (error: unknown) => void;
}>;

/** Admits plain requests at one box. */
export type PlainAdmitter = Readonly<{
  /** Places, queues or refuses a request; the returned function cancels the request while it waits. */
  admit: (entry: PlainEntry, steps: AdmissionSteps) => () => void;
  /** A request of any box has ended at a server. */
  onEnded: (server: ServerId) => void;
  /** A server rejected a request of any box because it was full; that request is no longer on record. */
  onFull: (server: ServerId) => void;
  /** Records a sign if nearly all slots of the service are in use. */
  checkUtilization: (service: ServiceName) => void;
  countWaiting: () => number;
}>;

/**
 * How often waiting requests are checked for slots that became free without the end of a request: a
 * reservation or a lowered number of slots expired, or a server joined.
 */
const RECHECK_MS = 100 as Ms;

/**
 * How long after a service became contended the records of the other boxes' requests may be incomplete.
 * The first rejection lowered a server with ten requests to one at 14 boxes, and a tenth of the requests
 * was not served.
 */
const RECORDING_MS = 100;

/** Creates the admission. */
export const createPlainAdmitter = (options: PlainAdmitterOptions): PlainAdmitter => {
  const { clock, registry, placer, directory, contention, usable, queue, onEvent } =
    options;
  const waitingByService = new Map<ServiceName, number>();
  let isRetryPending = false;

  const countAt = (server: ServerId) => countPresent(registry, server);
  /** Undefined while only connections are short: `chooseWithRoom` bounds those. */
  const countUsable = (entry: ServerEntry): number | undefined =>
    contention.isShortOfSlots(entry.service) ? usable.count(entry) : undefined;
  const hasRoom = ({ entry }: BackendServer) =>
    countAt(entry.id) < (countUsable(entry) ?? Infinity);

  const checkUtilization = (service: ServiceName) => {
    // What is on record may be waiting at slow boxes; servers say themselves when they are full.
    if (contention.isContended(service) && !contention.isShortOfSlots(service)) return;
    const servers = directory.listReady(service);
    const slots = servers.reduce((sum, { entry }) => sum + entry.slots, 0);
    const present = servers.reduce((sum, { entry }) => sum + countAt(entry.id), 0);
    if (slots > 0 && present >= slots * CONTENDED_UTILIZATION) contention.onSign(service);
  };

  const changeWaiting = (service: ServiceName, step: number) => {
    const count = (waitingByService.get(service) ?? 0) + step;
    if (count > 0) waitingByService.set(service, count);
    else waitingByService.delete(service);
  };
  const retryWaiting = () => {
    isRetryPending = false;
    try {
      runEach([...waitingByService.keys()], (service) => {
        if (directory.listReady(service).some(hasRoom)) queue.onRoom(service, 0);
      });
    } finally {
      scheduleRetry();
    }
  };
  const scheduleRetry = () => {
    if (isRetryPending || waitingByService.size === 0) return;
    isRetryPending = true;
    clock.setTimer(RECHECK_MS, retryWaiting);
  };

  /** Undefined while the request has to wait: there is no free slot, or all servers are cold. */
  const choose = ({ service, demand, except, owner }: PlainEntry) => {
    const decision = placer.chooseWithRoom({ service, demand, except }, owner, {
      hasRoom,
      countAt,
    });
    const isCold = decision?.kind === "no_server" && decision.reason === "servers_cold";
    return isCold ? undefined : decision;
  };

  const admit: PlainAdmitter["admit"] = (entry, { decide, fail }) => {
    const { box, service, demand, terms } = entry;
    const arrivedAt = clock.monotonic();
    const getWaited = () => (clock.monotonic() - arrivedAt) as Ms;
    let isOver = false;
    changeWaiting(service, 1);
    const finish = (): boolean => {
      if (isOver) return false;
      isOver = true;
      changeWaiting(service, -1);
      return true;
    };
    const reportPlaced = ({ entry: chosen }: BackendServer) =>
      onEvent({
        kind: "plain_admitted",
        box,
        service,
        server: chosen.id,
        present: countAt(chosen.id),
        usable: countUsable(chosen),
        waited: getWaited(),
      });
    const attemptNow = () => {
      const decision = choose(entry);
      if (!decision) return false;
      finish();
      if (decision.kind === "placed") reportPlaced(decision.server);
      decide(decision);
      return true;
    };
    /** A request that stayed in the queue would hold up all behind it. */
    const failIfThrown = (): boolean => {
      try {
        return attemptNow();
      } catch (error) {
        finish();
        fail(error);
        return true;
      }
    };
    const attempt = () => {
      if (isOver) return true;
      const isDecided = failIfThrown();
      if (isDecided) checkUtilization(service);
      return isDecided;
    };
    const refuse = (retryAfter: Ms, reason: CapacityRefusal) => {
      if (!finish()) return;
      const waited = getWaited();
      onEvent({
        kind: "plain_refused",
        box,
        service,
        cause: "queue",
        retryAfter,
        waited,
      });
      decide({ kind: "refused", reason, retryAfter });
    };
    const cancelEntry = queue.add({
      kind: "plain",
      service,
      tier: demand.tier,
      workspace: terms.workspace ?? "",
      subject: terms.subject ?? "",
      cost: terms.workMs,
      arrivedAt,
      aimAt: (arrivedAt + terms.aimInMs) as Ms,
      endsAt: (arrivedAt + terms.endsInMs) as Ms,
      workMs: terms.workMs,
      attempt,
      refuse,
    });
    scheduleRetry();
    return () => {
      if (finish()) cancelEntry();
    };
  };

  return {
    admit,
    onEnded: (id) => {
      const server = directory.find(id);
      if (!server) return;
      const { service } = server.entry;
      if (contention.getContendedFor(service) > 0) queue.onRoom(service);
    },
    onFull: (id) => {
      const server = directory.find(id);
      if (!server) return;
      const { service } = server.entry;
      if (contention.getContendedFor(service) >= RECORDING_MS)
        usable.lower(server.entry, countAt(id));
    },
    checkUtilization,
    countWaiting: () =>
      [...waitingByService.values()].reduce((sum, count) => sum + count, 0),
  };
};
