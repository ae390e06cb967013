/**
 * Creates the parts that share the slots of contended plain services among all boxes: the signs of
 * contention, the admission of requests, and the part of a box on its own.
 */
import {
  createBrittleServers,
  createContention,
  createUsableSlots,
  type CapacityEvent,
  type ContentionUpdate,
  type SignSource,
} from "@stairgauge/capacity";
import type { AdmissionQueue } from "@stairgauge/admission";
import {
  toBoottimeClock,
  type BoxName,
  type Clock,
  type Ms,
  type ServiceName,
} from "@stairgauge/common";
import type { BackendServer, ServerDirectory, ServerId } from "@stairgauge/directory";
import {
  createPlainAdmitter,
  createPlainHub,
  createSafeChoice,
  type FleetPlacer,
  type PlainDecision,
  type PlainHub,
} from "@stairgauge/fleet";
import type { PlainAdmission } from "@stairgauge/forwarding";
import {
  createAdmittingAsker,
  type AskScope,
  type HubNotice,
  type PeerLinks,
} from "@stairgauge/peers";
import type { FleetPlaces, LoadRegistry, PlacementDecision } from "@stairgauge/placement";
import { createAdmittingQuestions, toDemand } from "./askAdmitting.js";

export type CapacityOptions = Readonly<{
  clock: Clock;
  own: BoxName;
  links: Pick<
    PeerLinks,
    "listHubs" | "listConnected" | "countBoxes" | "findPlace" | "askPlace"
  >;
  registry: LoadRegistry;
  places: Pick<FleetPlaces, "computePart">;
  directory: Pick<ServerDirectory, "find" | "listReady">;
  placer: Pick<
    FleetPlacer,
    | "choose"
    | "chooseWithRoom"
    | "getRunId"
    | "listClosedTo"
    | "mayTakeWork"
    | "hasOwnConnection"
    | "needsSharedConnections"
    | "recordOpenRequests"
  >;
  queue: Pick<AdmissionQueue, "add" | "onRoom">;
  isEngineService: (service: ServiceName) => boolean;
  /** Sends this box's signs to all boxes that it is linked to. */
  recordContended: (update: ContentionUpdate) => void;
  /** Forwards a notice to all boxes that are linked to this one, if this box forwards notices. */
  forward: (notice: Partial<HubNotice>) => void;
  /** Delay after which a refused client should retry. */
  retryAfter: Ms;
  onEjected: (box: BoxName) => void;
  onEvent: (event: CapacityEvent) => void;
}>;

/** The parts of one box. */
export type Capacity = Readonly<{
  plainAdmission: PlainAdmission;
  plainHub: PlainHub;
  isContended: (service: ServiceName) => boolean;
  applyShared: (update: ContentionUpdate, source: SignSource) => void;
  listSigns: () => ContentionUpdate;
  /** A plain server states in an answer that it falls over if it rejects more requests in a second. */
  recordBrittle: (server: BackendServer, maxRejected: number) => void;
  /** A server answered a request without that statement. */
  recordNotBrittle: (server: BackendServer, sentAgo: Ms) => void;
  /** A request of this or another box has ended at a server. */
  onEnded: (server: ServerId) => void;
  forget: (server: ServerId) => void;
}>;

const toDecision = (given: PlainDecision): PlacementDecision =>
  given.kind === "refused"
    ? {
        kind: "no_server",
        reason: given.reason,
        known: 0,
        retryAfter: given.retryAfter,
      }
    : given;

/** Creates the parts; all services are open. */
export const createCapacity = (options: CapacityOptions): Capacity => {
  const { clock, own, links, registry, places, directory, placer, queue } = options;
  const { retryAfter, onEjected } = options;
  const onEvent = (event: CapacityEvent) => {
    options.onEvent(event);
    if (event.kind === "contended") placer.recordOpenRequests(event.service);
  };
  const brittle = createBrittleServers({ clock, onEvent });
  const contention = createContention({
    clock,
    onOwnUpdate: (update) => {
      options.recordContended(update);
      options.forward({ contended: update });
    },
    onSharedUpdate: (update) => options.forward({ contended: update }),
    onFull: (server) => admitter.onFull(server),
    listBrittle: brittle.list,
    onBrittle: (servers, age) => {
      for (const id of servers) {
        const server = directory.find(id);
        if (server) brittle.applyShared(server.entry, age);
      }
    },
    onEvent,
  });
  const usable = createUsableSlots({ clock, isBrittle: brittle.isBrittle, onEvent });
  const admitter = createPlainAdmitter({
    clock,
    registry,
    placer,
    directory,
    contention,
    usable,
    queue,
    onEvent,
  });
  const plainHub = createPlainHub({ clock, registry, admitter, retryAfter, onEvent });
  const chooseSafe = createSafeChoice({
    directory,
    registry,
    places,
    placer,
    brittle,
    retryAfter,
    onEvent,
  });
  const asker = createAdmittingAsker({
    // Answers from before a suspension of the machine are late, too.
    clock: toBoottimeClock(clock),
    own,
    links,
    onEjected,
  });
  // Two boxes that admit at once may send twice what the servers have slots for.
  const findScope = (service: ServiceName): AskScope =>
    brittle.isServiceBrittle(service) ? "first_only" : "any";
  const admitHere: PlainAdmission["admitHere"] = (request, { decide, fail }) => {
    const { service, except, workspace, subject, aimAt, endsAt, workMs } = request;
    const now = clock.monotonic();
    const terms = {
      workspace,
      subject,
      aimInMs: (aimAt - now) as Ms,
      endsInMs: (endsAt - now) as Ms,
      workMs,
    };
    const demand = toDemand(request);
    return admitter.admit(
      { box: own, owner: "own", service, demand, except, terms },
      { decide: (decision) => decide(toDecision(decision)), fail },
    );
  };

  return {
    plainAdmission: {
      needsAdmission: (request) => {
        const { service, except } = request;
        if (!contention.isContended(service)) return false;
        if (contention.isShortOfSlots(service)) return true;
        return !placer.hasOwnConnection({ service, demand: toDemand(request), except });
      },
      checkConnections: (request) => {
        const { service } = request;
        if (contention.isContended(service)) return;
        if (placer.needsSharedConnections(service, toDemand(request)))
          contention.onConnectionsUsed(service);
      },
      onOpenPlaced: (service) => {
        if (asker.find() === "own") admitter.checkUtilization(service);
      },
      findAdmitting: (service) => asker.find(findScope(service)),
      admitHere,
      ask: createAdmittingQuestions({
        clock,
        own,
        asker,
        links,
        placer,
        findServer: directory.find,
        findScope,
        onEvent,
      }),
      onRejected: ({ entry }) => {
        brittle.recordRejected(entry.id);
        contention.onSign(entry.service, entry.id);
      },
      placeWithinOwnPart: (request) => {
        const left = request.endsAt - clock.monotonic();
        // The time in which no admitting box answered may have left too little for the work.
        if (left < request.workMs)
          return { kind: "no_server", reason: "too_late", known: 0, retryAfter };
        const { service, except } = request;
        const choose = contention.isShortOfSlots(service) ? chooseSafe : placer.choose;
        return choose(service, toDemand(request), except);
      },
    },
    plainHub,
    isContended: contention.isContended,
    applyShared: contention.applyShared,
    listSigns: contention.listSigns,
    recordBrittle: ({ entry }, maxRejected) => {
      if (options.isEngineService(entry.service)) return;
      brittle.recordSaid(entry, maxRejected);
      // One box places the requests of all boxes while any rejection is one too many.
      contention.onSign(entry.service);
    },
    recordNotBrittle: ({ entry }, sentAgo) => brittle.recordUnsaid(entry, sentAgo),
    onEnded: admitter.onEnded,
    forget: (server) => {
      usable.forget(server);
      brittle.forget(server);
    },
  };
};
