/**
 * Keeps which plain services are contended: a sign of too little capacity was observed by some box
 * within the last five seconds. It may be one of slots, or only of the connections of one box, which tells nothing of
 * the servers. All state is advisory; it expires by itself and is learned again.
 */
import type { Clock, Ms, ServiceName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import {
  CONTENDED_MS,
  FULL_INTERVAL_MS,
  MAX_SERVERS,
  MAX_SERVICES,
  SHARE_INTERVAL_MS,
} from "./constants.js";
import type {
  ContentionEvent,
  ContentionSign,
  ContentionUpdate,
  SignSource,
} from "./types.js";

/** Options of the contention state. */
export type ContentionOptions = Readonly<{
  clock: Pick<Clock, "monotonic" | "setTimer">;
  /** Sends signs that this box observed to all linked boxes, and as a hub to those linked to it. */
  onOwnUpdate: (update: ContentionUpdate) => void;
  /** Forwards signs from another box's update to the boxes linked to this one, if this one is a hub. */
  onSharedUpdate: (update: ContentionUpdate) => void;
  /** A server rejected a request of some box because it was full. */
  onFull: (server: ServerId) => void;
  /** Servers of a service that state that they are brittle, which signs carry to other boxes. */
  listBrittle: (service: ServiceName) => readonly ServerId[];
  /** Another box knows that the servers are brittle. */
  onBrittle: (servers: readonly ServerId[], age: Ms) => void;
  onEvent: (event: ContentionEvent) => void;
}>;

/** The contended services of one box. */
export type Contention = Readonly<{
  /** Records a sign that this box observed; `full` is the server that rejected a request, if one did. */
  onSign: (service: ServiceName, full?: ServerId) => void;
  /** This box's part of the connections to the service's servers is used up. */
  onConnectionsUsed: (service: ServiceName) => void;
  /** Records the signs of another box's message. */
  applyShared: (update: ContentionUpdate, source: SignSource) => void;
  isContended: (service: ServiceName) => boolean;
  /** Whether the service is contended for its slots, not by a box's used-up connections alone. */
  isShortOfSlots: (service: ServiceName) => boolean;
  /** For how long the service has been contended at this box; 0 if it is open. */
  getContendedFor: (service: ServiceName) => Ms;
  /** The newest sign of each contended service, for boxes that have just been linked to. */
  listSigns: () => ContentionUpdate;
}>;

type Contended = {
  readonly since: number;
  newestAt: number;
  /** Time of the newest sign of slots; undefined before the first one. */
  slotsAt: number | undefined;
  /** Time of the newest sign that was sent or forwarded. */
  sharedAt: number;
};

/** What a sign is about. */
type SignKind = "slots" | "connections";

/** Creates the state; all services are open. */
export const createContention = (options: ContentionOptions): Contention => {
  const { clock, onOwnUpdate, onSharedUpdate, onFull, onEvent } = options;
  const services = new Map<ServiceName, Contended>();
  const fullSharedAt = new Map<ServerId, number>();

  const expire = (service: ServiceName) => {
    const known = services.get(service);
    if (!known) return;
    const left = known.newestAt + CONTENDED_MS - clock.monotonic();
    if (left > 0) {
      clock.setTimer(left as Ms, () => expire(service));
      return;
    }
    services.delete(service);
    const lasted = (clock.monotonic() - known.since) as Ms;
    onEvent({ kind: "uncontended", service, lasted });
  };

  /** Records a sign; undefined if there are too many services. */
  const putSign = (
    { service, age, kind }: Readonly<{ service: ServiceName; age: Ms; kind: SignKind }>,
    by: string | undefined,
  ) => {
    const now = clock.monotonic();
    const at = now - age;
    const slotsAt = kind === "slots" ? at : undefined;
    const known = services.get(service);
    if (known) {
      known.newestAt = Math.max(known.newestAt, at);
      if (slotsAt !== undefined)
        known.slotsAt = Math.max(known.slotsAt ?? slotsAt, slotsAt);
      return known;
    }
    if (services.size >= MAX_SERVICES) {
      onEvent({ kind: "signs_left_out", by, count: 1 });
      return undefined;
    }
    clock.setTimer((CONTENDED_MS - age) as Ms, () => expire(service));
    const added = { since: now, newestAt: at, slotsAt, sharedAt: -Infinity };
    services.set(service, added);
    onEvent({ kind: "contended", service, by, age, of: kind });
    return added;
  };

  /** Whether the sign is so much newer than the last one sent that it is worth a message. */
  const takeShare = (known: Contended): boolean => {
    if (known.newestAt - known.sharedAt < SHARE_INTERVAL_MS) return false;
    known.sharedAt = known.newestAt;
    return true;
  };
  const takeFullShare = (server: ServerId): boolean => {
    const now = clock.monotonic();
    for (const [id, at] of fullSharedAt)
      if (now - at >= FULL_INTERVAL_MS) fullSharedAt.delete(id);
    if (fullSharedAt.has(server) || fullSharedAt.size >= MAX_SERVERS) return false;
    fullSharedAt.set(server, now);
    return true;
  };

  const makeSign = (
    service: ServiceName,
    age: Ms,
    { kind = "slots", full = [] }: { kind?: SignKind; full?: readonly ServerId[] } = {},
  ): ContentionSign => {
    const brittle = options.listBrittle(service);
    return {
      service,
      age,
      full,
      ...(brittle.length > 0 && { brittle }),
      ...(kind === "connections" && { isOfConnections: true }),
    };
  };
  const applySign = (sign: ContentionSign, source: SignSource) => {
    const { service, age, full, brittle = [] } = sign;
    if (age >= CONTENDED_MS) return;
    options.onBrittle(brittle, age);
    const kind = sign.isOfConnections ? "connections" : "slots";
    const known = putSign({ service, age, kind }, source.box);
    if (!known) return;
    full.forEach(onFull);
    // A sign that hubs forwarded to each other would never expire while their links are slow, since
    // its age does not include the transit. So a hub forwards only signs of the observing boxes.
    if (source.message === "update" && takeShare(known))
      onSharedUpdate({ signs: [makeSign(service, age, { kind })], unknownParts: 0 });
  };

  const isRecent = (at: number | undefined) =>
    at !== undefined && clock.monotonic() - at < CONTENDED_MS;
  const isContended = (service: ServiceName) => isRecent(services.get(service)?.newestAt);

  return {
    onSign: (service, full) => {
      const known = putSign({ service, age: 0 as Ms, kind: "slots" }, undefined);
      if (!known) return;
      if (full !== undefined) onFull(full);
      const isFullShared = full !== undefined && takeFullShare(full);
      if (!takeShare(known) && !isFullShared) return;
      const sign = makeSign(service, 0 as Ms, { full: isFullShared ? [full] : [] });
      onOwnUpdate({ signs: [sign], unknownParts: 0 });
    },
    onConnectionsUsed: (service) => {
      const kind = "connections";
      const known = putSign({ service, age: 0 as Ms, kind }, undefined);
      if (!known || !takeShare(known)) return;
      onOwnUpdate({ signs: [makeSign(service, 0 as Ms, { kind })], unknownParts: 0 });
    },
    applyShared: ({ signs, unknownParts }, source) => {
      if (unknownParts > 0)
        onEvent({ kind: "signs_left_out", by: source.box, count: unknownParts });
      for (const sign of signs) applySign(sign, source);
    },
    isContended,
    // No request too many may reach a brittle server, whatever made its service contended.
    isShortOfSlots: (service) =>
      isContended(service) &&
      (isRecent(services.get(service)?.slotsAt) ||
        options.listBrittle(service).length > 0),
    getContendedFor: (service) => {
      const { since } = services.get(service) ?? {};
      const isKnown = since !== undefined && isContended(service);
      return (isKnown ? clock.monotonic() - since : 0) as Ms;
    },
    listSigns: () => {
      const now = clock.monotonic();
      const signs = [...services].map(([service, { newestAt, slotsAt }]) =>
        slotsAt !== undefined && isRecent(slotsAt)
          ? makeSign(service, (now - slotsAt) as Ms)
          : makeSign(service, (now - newestAt) as Ms, { kind: "connections" }),
      );
      return { signs: signs.filter(({ age }) => age < CONTENDED_MS), unknownParts: 0 };
    },
  };
};
