/** Calls on engines, in the product's words; the platform's folder makes them. */
import type { Ms, Result } from "@stairgauge/common";
import type { ServerAddress } from "@stairgauge/directory";
import type { EngineReport } from "@stairgauge/placement";

/** Why an engine gave no usable answer. */
export type EngineFailure = Readonly<{
  kind: "no_answer" | "refused" | "malformed";
  detail: string;
}>;

/** A call for a run's memory to be copied. */
export type CopyRequest = Readonly<{
  source: ServerAddress;
  target: ServerAddress;
  /** The request that the run answers. */
  id: string;
  /** The run stops first; its stream ends without an end. */
  isLast: boolean;
  limit: Ms;
}>;

/** What became of it. */
export type CopyAnswer = Readonly<
  | { kind: "copied"; handle: string; eventsMade: number }
  /** The engine has no such run: it has ended, or it has not begun. */
  | { kind: "no_such_run" }
  /** Another copy of this run is under way. */
  | { kind: "under_way" }
  /** No room at the target, or no way there; a run that was stopped lies at its source under the handle. */
  | { kind: "no_room"; handle: string | undefined }
  | { kind: "no_answer"; detail: string }
>;

/** The calls. */
export type EngineActions = Readonly<{
  readReport: (
    engine: ServerAddress,
    limit: Ms,
  ) => Promise<Result<EngineReport, EngineFailure>>;
  copyRun: (request: CopyRequest) => Promise<CopyAnswer>;
  /** Frees a copy that nobody will use. */
  dropCopy: (engine: ServerAddress, handle: string) => Promise<void>;
}>;
