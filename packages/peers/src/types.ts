/**
 * Messages between boxes. The runs that each box has placed and the servers that leave are hints; no guarantee depends on them.
 * Tables of the store are passed on with their age, and guarantees depend on that age.
 */
import type { ContentionUpdate } from "@stairgauge/capacity";
import type { BoxName, DataHallName, Ms } from "@stairgauge/common";
import type { CrashUpdate } from "@stairgauge/crashes";
import type { LimitUpdate } from "@stairgauge/limits";
import type { SharedOrigin } from "@stairgauge/origins";
import type { SharedPace } from "@stairgauge/pace";
import type {
  RowChange,
  StoredRow,
  StoreRevision,
  UnsettledRows,
} from "@stairgauge/storefeed";
import type { LeavingEvidence, ServerAddress, ServerId } from "@stairgauge/directory";
import type {
  CapacityRefusal,
  EngineReport,
  MoveTarget,
  NoServerReason,
  PlacedRun,
  PlacementLimit,
  PlacementReason,
  RunToMove,
} from "@stairgauge/placement";

export type { PlaceQuestion } from "@stairgauge/placement";

/** A box as others see it. */
export type Member = Readonly<{
  box: BoxName;
  /** How much the box can pass on to others besides its own work, relative to other boxes. */
  capacity: number;
  /** Undefined for a box that is known by its address only. */
  dataHall?: DataHallName | undefined;
}>;

/** A box, and the address at which it accepts calls of other boxes. */
export type Peer = Member & Readonly<{ address: ServerAddress }>;

/** A server that leaves, and the evidence that the reporting box has. */
export type SharedLeaving = Readonly<{ server: ServerId; evidence: LeavingEvidence }>;

/** A report that a box has just received from an engine. */
export type SharedReport = Readonly<{ server: ServerId; report: EngineReport }>;

/** Changes to the runs of one box, or all its runs, along with other updates from the box. */
export type RunUpdate = Readonly<{
  box: BoxName;
  /** The update lists the whole state: runs that it does not list are gone. */
  isWhole: boolean;
  put: readonly Readonly<{ server: ServerId; run: PlacedRun }>[];
  drop: readonly Readonly<{ server: ServerId; id: string }>[];
  /** Servers that should get no new work, according to the box. */
  leaving: readonly SharedLeaving[];
  /** Reports that the box received since its last update. */
  reports: readonly SharedReport[];
  /** Servers that broke off requests of the box before they answered. */
  broken: readonly ServerId[];
  /** Requests under which servers crashed: those newly seen by the box, or all that it has on record. */
  crashes: CrashUpdate;
  /** Limits that servers have named: those newly received by the box, or all that it has on record. */
  limits: LimitUpdate;
  /** Signs of contended services; undefined in updates of earlier releases. */
  contended?: ContentionUpdate | undefined;
  /** What streams of the box are bound to; undefined in updates of earlier releases. */
  origins?: readonly SharedOrigin[] | undefined;
  /** Service times that the box has observed since its last update with any. */
  paces?: readonly SharedPace[] | undefined;
}>;

/** Rows of one table in which a box deviates from the store, after the store was restored from a backup. */
export type SharedUnsettledRows = UnsettledRows & Readonly<{ table: string }>;

/**
 * A message from a box to those that are linked to it: leaving servers at which they have runs, requests under which servers
 * crashed, limits of servers, and rows that the backup lacks from which the store was restored.
 */
export type HubNotice = Readonly<{
  leaving: readonly SharedLeaving[];
  crashes: CrashUpdate;
  limits: LimitUpdate;
  unsettled: readonly SharedUnsettledRows[];
  /** Signs of contended services, from this box or forwarded. */
  contended?: ContentionUpdate | undefined;
  /** Estimated service times of plain servers, from the observations of all boxes. */
  paces?: readonly SharedPace[] | undefined;
}>;

/** A box's request for a table to another box: the whole table, or its changes as soon as there are any. */
export type TableQuestion = Readonly<
  /** An answer is useful from the revision `atLeast` on. */
  | { kind: "whole"; table: string; atLeast: StoreRevision }
  | { kind: "changes"; table: string; since: StoreRevision; wait: Ms }
>;

type AnswerAges = Readonly<{
  /** How long ago the answer was true at the store, at most. */
  age: Ms;
  /** How long ago the answering box last received an answer from the store, at most. */
  silence: Ms;
}>;

/** The answer to a table question; `not_known` when the box has not read the table yet. */
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

/** The hub's choice of a server, with the figures behind it. */
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
  /** A plain request gets no slot in time. */
  | { kind: "refused"; reason: CapacityRefusal; retryAfter: Ms }
  /** An answer of a kind that only later releases know; it is never sent. */
  | { kind: "unknown" }
>;

/** Asks which runs leave an engine and where to. All boxes with runs there ask the same hub, and so follow the same plan. */
export type MovesQuestion = Readonly<{
  server: ServerId;
  /** Whether to plan from the current state, not from the state when the engine began to leave. */
  isFresh: boolean;
}>;

/** The answer to a moves question. */
export type MovesAnswer = Readonly<
  | { kind: "moves"; runs: readonly RunToMove[]; targets: readonly MoveTarget[] }
  | { kind: "not_known" }
>;

/** Why another box gave no answer. */
export type AskFailure = Readonly<
  { kind: "no_link" } | { kind: "failed"; detail: string }
>;
