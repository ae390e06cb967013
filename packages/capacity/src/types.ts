/** Contention of plain services, the admission of their requests, and the events of both. */
import type { Ms, ServiceName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";

/** What one answer of a server says about how it bears rejecting requests. */
export type BrittleSignal = Readonly<
  | { kind: "unsaid" }
  /** It falls over if it rejects more than this many requests in a second for want of room. */
  | { kind: "said"; maxRejected: number }
  | { kind: "unreadable"; text: string }
>;

/** A change of the brittle servers; `maxRejected` is undefined if another box received the statement. */
export type BrittleEvent = Readonly<
  | { kind: "brittle"; server: ServerId; maxRejected: number | undefined; age: Ms }
  | { kind: "brittle_over"; server: ServerId }
>;

/** A sign that a plain service has too little capacity, as boxes send it to each other. */
export type ContentionSign = Readonly<{
  service: ServiceName;
  /** Time since the newest sign, without the transit of the message. */
  age: Ms;
  /** Servers of the service that have just rejected a request because they were full. */
  full: readonly ServerId[];
  /** Servers of the service that state that they are brittle; undefined if there are none. */
  brittle?: readonly ServerId[] | undefined;
  /** Set if the sign is one of used-up connections, not of slots. Earlier releases don't send it, and don't read it. */
  isOfConnections?: true | undefined;
}>;

/** The signs of a message. */
export type ContentionUpdate = Readonly<{
  signs: readonly ContentionSign[];
  /** Number of signs that could not be read and were left out. */
  unknownParts: number;
}>;

/** The message from which signs were read. Only signs from updates are forwarded by hubs. */
export type SignSource = Readonly<{ box: string; message: "update" | "notice" }>;

/** A change of what a box believes about contention. */
export type ContentionEvent = Readonly<
  /** `by` is the box that sent the sign; undefined if this box observed it. */
  | {
      kind: "contended";
      service: ServiceName;
      by: string | undefined;
      age: Ms;
      of: "slots" | "connections";
    }
  | { kind: "uncontended"; service: ServiceName; lasted: Ms }
  /** Signs that could not be read, or that exceed the number of services on record. */
  | { kind: "signs_left_out"; by: string | undefined; count: number }
>;

/** The usable slots of a server were lowered, since it rejected a request as full. */
export type SlotsEvent = Readonly<{
  kind: "slots_lowered";
  server: ServerId;
  slots: number;
  usable: number;
  duration: Ms;
}>;

/** Decisions of the admitting box, and of boxes without one. */
export type AdmissionEvent = Readonly<
  | {
      kind: "plain_admitted";
      box: string;
      service: ServiceName;
      server: ServerId;
      /** Requests of all boxes at the server before this one. */
      present: number;
      /** Its usable slots; undefined if only connections are short. */
      usable: number | undefined;
      waited: Ms;
    }
  | {
      kind: "plain_refused";
      box: string;
      service: ServiceName;
      cause: "queue" | "too_many_held";
      retryAfter: Ms;
      waited: Ms;
    }
  /** The asking box stopped asking for a request that waited here. */
  | { kind: "plain_given_up"; box: string; service: ServiceName; waited: Ms }
  /** A box without an admitting box used its safe part; `server` is undefined if the part was used up. */
  | {
      kind: "safe_part_used";
      service: ServiceName;
      server: ServerId | undefined;
      /** This box's open requests at the service, and its safe part of the service's slots. */
      open: number;
      part: number;
    }
  /** An answer of the admitting box was not used. */
  | {
      kind: "admission_not_used";
      by: string;
      why: "unknown_kind" | "older_box" | "server_unusable";
    }
>;

/** All events of this package; each is logged as one line. */
export type CapacityEvent = ContentionEvent | SlotsEvent | AdmissionEvent | BrittleEvent;
