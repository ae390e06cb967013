/**
 * What boxes tell each other. Runs that each has placed and servers that leave are advice; no promise rests on them.
 * Tables of the store are handed on with their age, by which promises are kept.
 */
import type { BoxName, DataHallName, Ms } from "@stairgauge/common";
import type { CrashUpdate } from "@stairgauge/crashes";
import type { LimitUpdate } from "@stairgauge/limits";
import type {
  RowChange,
  StoredRow,
  StoreRevision,
  UnsettledRows,
} from "@stairgauge/storefeed";
import type { LeavingEvidence, ServerAddress, ServerId } from "@stairgauge/directory";
import type {
  EngineReport,
  MoveTarget,
  NoServerReason,
  PlacedRun,
  PlacementLimit,
  PlacementReason,
  RunToMove,
} from "@stairgauge/placement";

export type { PlaceQuestion } from "@stairgauge/placement";

/** A box, where it stands, and how much it can hand on to others beside its own work, in proportion to what others can. */
export type Member = Readonly<{
  box: BoxName;
  capacity: number;
  /** Absent for a box that is known by its address only. */
  dataHall?: DataHallName | undefined;
}>;

/** A box that takes part, and where it listens. */
export type Peer = Member & Readonly<{ address: ServerAddress }>;

/** A server that leaves, and what the box that tells it rests on. */
export type SharedLeaving = Readonly<{ server: ServerId; basis: LeavingEvidence }>;

/** A report that a box has just had from an engine. */
export type SharedReport = Readonly<{ server: ServerId; report: EngineReport }>;

/** Changes of one box's runs, or all of them. */
export type RunUpdate = Readonly<{
  box: BoxName;
  /** The whole state: what it does not name is gone. */
  isWhole: boolean;
  put: readonly Readonly<{ server: ServerId; run: PlacedRun }>[];
  drop: readonly Readonly<{ server: ServerId; id: string }>[];
  /** Servers that get no new work, as far as the box knows. */
  leaving: readonly SharedLeaving[];
  /** Reports that came since the last update. */
  reports: readonly SharedReport[];
  /** Servers that broke requests of the box off before they answered. */
  broken: readonly ServerId[];
  /** Requests under which servers ended, as the box has seen it, or all that it knows. */
  crashes: CrashUpdate;
  /** Limits that servers name, as the box has heard them, or all that it knows. */
  limits: LimitUpdate;
}>;

/** Rows of one table that count at a box against the store's word. */
export type SharedUnsettledRows = UnsettledRows & Readonly<{ table: string }>;

/**
 * What a box tells those that are linked to it: of servers at which they have runs, requests that end servers, limits, and
 * what it knows beyond the copy that the store has come back from.
 */
export type HubNotice = Readonly<{
  leaving: readonly SharedLeaving[];
  crashes: CrashUpdate;
  limits: LimitUpdate;
  unsettled: readonly SharedUnsettledRows[];
}>;

/** What one box asks another of a table: all of it, or its changes as soon as there is news. */
export type TableQuestion = Readonly<
  /** A state from that revision on is of use. */
  | { kind: "whole"; table: string; atLeast: StoreRevision }
  | { kind: "changes"; table: string; since: StoreRevision; wait: Ms }
>;

type AnswerAges = Readonly<{
  /** How long ago the answer was true at the store, at most. */
  age: Ms;
  /** How long ago the box that answers heard the store at all, at most. */
  silence: Ms;
}>;

/** The answer. */
export type TableAnswer = Readonly<
  | ({ kind: "whole"; rows: readonly StoredRow[]; revision: StoreRevision } & AnswerAges)
  | ({
      kind: "changes";
      changes: readonly RowChange[];
      revision: StoreRevision;
    } & AnswerAges)
  | { kind: "not_known" }
  | { kind: "history_gone" }
>;

/** The hub's choice, with the figures that made it. */
export type PlaceAnswer = Readonly<
  | {
      kind: "placed";
      server: ServerId;
      reason: PlacementReason;
      load: number;
      memoryAfter: number | undefined;
      reportAge: Ms | undefined;
      candidates: number;
      limited?: PlacementLimit | undefined;
    }
  | { kind: "no_room"; memoryAfter: number }
  | {
      kind: "no_server";
      reason: NoServerReason;
      known: number;
      retryAfter?: Ms | undefined;
    }
>;

/** What leaves an engine and where to: all boxes with runs there ask the same hub, and plan alike. */
export type MovesQuestion = Readonly<{
  server: ServerId;
  /** As things are now, not as they were when the engine began to leave. */
  isFresh: boolean;
}>;

/** The answer. */
export type MovesAnswer = Readonly<
  | { kind: "moves"; runs: readonly RunToMove[]; targets: readonly MoveTarget[] }
  | { kind: "not_known" }
>;

/** Why another box gave no answer. */
export type AskFailure = Readonly<
  { kind: "no_link" } | { kind: "failed"; detail: string }
>;
