/** Requests that wait for capacity, and what becomes of them. */
import type { Ms, ServiceName } from "@stairgauge/common";

/** Who shares capacity: a workspace and a subject within it, among those of one service and tier. */
export type Sharer = Readonly<{
  service: ServiceName;
  /** Priority, 0 is the highest. */
  tier: number;
  workspace: string;
  /** The last shared part of the prompt, or the client's key where there is none. */
  subject: string;
}>;

/** What a request costs its workspace: tokens of an engine, or milliseconds of a plain server. */
export type Charge = Sharer & Readonly<{ cost: number }>;

/** Why a request is refused for lack of capacity. It has not run. */
export type AdmissionRefusal =
  /** It would miss its target, and newer requests would overtake it until its deadline. */
  | "no_room"
  /** It cannot be answered before its deadline. */
  | "too_late";

type Entry = Charge &
  Readonly<{
    /** Identifies the request in the log. */
    id?: string | undefined;
    /** Places the request if there is capacity; false if it has to keep waiting. */
    attempt: () => boolean;
  }>;

/** A generation: it waits until `until` and is then placed although every engine is full. */
export type GenerationEntry = Entry &
  Readonly<{
    kind: "generation";
    until: Ms;
    /** Places the request although every engine is full. */
    placeAnyway: () => void;
  }>;

/** A plain request: it is placed, waits, or is refused. */
export type PlainEntry = Entry &
  Readonly<{
    kind: "plain";
    arrivedAt: Ms;
    /** Time by which the answer is wanted. */
    aimAt: Ms;
    /** Time after which the answer is of no use. */
    endsAt: Ms;
    /** Expected time from sending the request to its answer. */
    workMs: Ms;
    /** Refuses the request, which has not run; the client should retry after `retryAfter`. */
    refuse: (retryAfter: Ms, reason: AdmissionRefusal) => void;
  }>;

/** A request that waits, or is about to. */
export type AdmissionEntry = GenerationEntry | PlainEntry;

/** What is expected for a request, and the data that this is derived from. */
export type WaitForecast = Readonly<{
  /** Number of requests expected to be placed before it. */
  position: number;
  /** Undefined if the rate is not known, as for generations. */
  expectedWait: Ms | undefined;
  /** Slots that become free per second, for all tiers. */
  ratePerSecond: number | undefined;
  /** Time since the newest completion that the rate is derived from. */
  rateAge: Ms | undefined;
}>;

/** A decision of the queue. Each is written as one log line. */
export type AdmissionEvent = Readonly<
  { sharer: Sharer; request: string | undefined; waiting: number } & (
    | ({ kind: "waits" } & WaitForecast)
    | ({
        kind: "refused";
        reason: AdmissionRefusal;
        retryAfter: Ms;
        /** Time spent in the queue. */
        waited: Ms;
      } & WaitForecast)
    /** A request that waited was placed; `isForced` if every engine was full. */
    | { kind: "placed"; waited: Ms; isForced: boolean }
    /** The client left while its request waited. */
    | { kind: "left"; waited: Ms }
  )
>;
