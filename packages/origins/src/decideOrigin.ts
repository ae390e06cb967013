/** Decides what a stream that a client takes up is bound to. Pure. */
import type { BoxName, ServiceName } from "@stairgauge/common";
import type { StreamBinding } from "@stairgauge/placement";
import type { FoundOrigin } from "./originFinder.js";
import type { VersionSet } from "./versionHistory.js";

/** How the binding of a stream was found. */
export type OriginSource = Readonly<
  /** It is on record at this box. */
  | { kind: "on_record" }
  /** Another box has it on record. */
  | { kind: "asked"; by: BoxName }
  /** All servers that may have begun the stream have one version. */
  | { kind: "only_version" }
>;

/** What a stream that a client takes up is bound to. */
export type ResolvedOrigin = Readonly<
  | { kind: "bound"; binding: StreamBinding; source: OriginSource }
  /**
   * It is not certain. `isCutOff` if this box can't tell since it has lost the store or all other boxes: then another
   * box may be certain.
   */
  | { kind: "not_known"; isCutOff: boolean }
>;

/** What is known of the stream. */
export type OriginInputs = Readonly<{
  found: FoundOrigin;
  /** The service that gets the request if the origin is not known. */
  service: ServiceName;
  /** Versions that may have begun a stream of the service; undefined if this box can't be sure of them. */
  versions: VersionSet | undefined;
  /** Whether this box has lost the store. */
  isOutOfTouch: boolean;
  /** Number of all boxes, this one included. */
  boxes: number;
}>;

/** Returns the version if there is only one, which servers state. */
const findOnlyVersion = (versions: VersionSet | undefined) => {
  const [version, ...others] = versions ?? [];
  return others.length === 0 ? version : undefined;
};

/** Decides. Without a record, a version counts only if no other can be meant: a wrong one would mix two versions. */
export const decideOrigin = (inputs: OriginInputs): ResolvedOrigin => {
  const { found, service, versions, isOutOfTouch, boxes } = inputs;
  if (found.kind === "known") {
    const { binding } = found.origin;
    if (binding.softwareVersion === undefined)
      return { kind: "not_known", isCutOff: false };
    const source: OriginSource =
      found.by === undefined ? { kind: "on_record" } : { kind: "asked", by: found.by };
    return { kind: "bound", binding, source };
  }
  // Another box may have read of a new version, and begun streams there, before this one has.
  const isCutOff = isOutOfTouch || (boxes > 1 && found.answered === 0);
  const softwareVersion = findOnlyVersion(versions);
  if (isCutOff || softwareVersion === undefined) return { kind: "not_known", isCutOff };
  const binding = { service, softwareVersion };
  return { kind: "bound", binding, source: { kind: "only_version" } };
};
