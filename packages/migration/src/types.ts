/** The calls to engines, independent of their wire format. The platform folder implements them. */
import type { Ms, Result } from "@stairgauge/common";
import type { ServerAddress } from "@stairgauge/directory";
import type { EngineReport } from "@stairgauge/placement";

/** A call without a usable answer. */
export type EngineFailure = Readonly<{
  kind: "no_answer" | "refused" | "malformed";
  detail: string;
}>;

/** A request to copy a run's memory to another engine. */
export type CopyRequest = Readonly<{
  source: ServerAddress;
  target: ServerAddress;
  /** Id of the request that the run answers. */
  id: string;
  /** Whether the run is stopped before the copy. Its stream then breaks off without an end event. */
  isLast: boolean;
  /** Timeout of the call. */
  limit: Ms;
}>;

/** The outcome of a copy request. */
export type CopyAnswer = Readonly<
  | { kind: "copied"; handle: string; eventsMade: number }
  /** The engine has no such run: it has ended or has not begun. */
  | { kind: "no_such_run" }
  /** Another copy of this run is in progress. */
  | { kind: "under_way" }
  /** The target lacks memory or can't be reached. A run that was stopped for the copy remains at its source under `handle`. */
  | { kind: "no_room"; handle: string | undefined }
  | { kind: "no_answer"; detail: string }
>;

/** The calls to engines. */
export type EngineActions = Readonly<{
  readReport: (
    engine: ServerAddress,
    limit: Ms,
  ) => Promise<Result<EngineReport, EngineFailure>>;
  copyRun: (request: CopyRequest) => Promise<CopyAnswer>;
  /** Frees the memory of a copy that will not be used. */
  dropCopy: (engine: ServerAddress, handle: string) => Promise<void>;
}>;
