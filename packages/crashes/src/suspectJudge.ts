/**
 * Judges requests by their suspects: whether one of them keeps the request from servers, and whether the request may be
 * sent to another server within its try. It reads what is on record and changes nothing.
 */
import { assertNever, type Clock, type Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import {
  CRASHES_TO_STOP_RETRIES,
  MAX_EARLY_TRIALS,
  PROVEN_PART_ENDS,
  PROVEN_PART_MEMORY_MS,
  TRIAL_PAUSE_MS,
} from "./constants.js";
import type { CrashLimits, CrashRegistry } from "./crashRegistry.js";
import type { HarmlessParts } from "./harmlessParts.js";
import type { RequestDigest, RequestStatus, Suspect } from "./types.js";

/** The suspect for which a request is blocked, and for how long. */
export type FoundBlock = Readonly<{ suspect: Suspect; left: Ms }>;

/** What the judge reads. */
export type SuspectJudgeOptions = Readonly<{
  clock: Pick<Clock, "monotonic">;
  limits: Pick<CrashLimits, "blockingEnds">;
  registry: Pick<CrashRegistry, "getStatus" | "listCrashes">;
  harmless: Pick<HarmlessParts, "isProven">;
  /** Lists the suspects that are blocked, perhaps with some that no longer are. */
  listBlocked: () => readonly RequestDigest[];
}>;

/** Judges requests. */
export type SuspectJudge = Readonly<{
  /** Returns the status of one suspect; `unconfirmed` are servers that broke off and may have crashed. */
  getStatus: (
    digest: RequestDigest,
    unconfirmed?: ReadonlySet<ServerId>,
  ) => RequestStatus;
  findBlock: (suspects: readonly Suspect[]) => FoundBlock | undefined;
  mayResend: (suspects: readonly Suspect[], broken: ReadonlySet<ServerId>) => boolean;
}>;

/** Creates a judge. */
export const createSuspectJudge = (options: SuspectJudgeOptions): SuspectJudge => {
  const { clock, limits, registry, harmless, listBlocked } = options;
  const getNow = () => clock.monotonic();

  /** Time for which a part is blocked that servers have survived before. */
  const getProvenStatus = (digest: RequestDigest): RequestStatus => {
    const now = getNow();
    const ends = registry
      .listCrashes(digest)
      .map(({ at }) => at)
      .filter((at) => now - at < PROVEN_PART_MEMORY_MS)
      .sort((a, b) => b - a);
    const decisive = ends[PROVEN_PART_ENDS - 1];
    return decisive === undefined
      ? { kind: "suspected", ends: ends.length }
      : {
          kind: "blocked",
          ends: ends.length,
          left: (decisive + PROVEN_PART_MEMORY_MS - now) as Ms,
        };
  };
  const getStatus = (
    digest: RequestDigest,
    unconfirmed?: ReadonlySet<ServerId>,
  ): RequestStatus => {
    const status = registry.getStatus(digest, getNow(), unconfirmed);
    const isProven = status.kind === "blocked" && harmless.isProven(digest, getNow());
    return isProven ? getProvenStatus(digest) : status;
  };
  const isBlocked = (digest: RequestDigest) => getStatus(digest).kind === "blocked";

  const listServers = (digest: RequestDigest): ReadonlySet<ServerId> =>
    new Set(registry.listCrashes(digest).map(({ server }) => server));
  /**
   * Whether another blocked suspect, which the request does not hold, was aboard at all these crashes: then the part may
   * have been there by chance, and the request shows which of the two it is. A suspect that servers have survived
   * explains nothing.
   */
  const isExplained = (
    { digest }: Suspect,
    held: ReadonlySet<RequestDigest>,
  ): boolean => {
    const servers = listServers(digest);
    return listBlocked().some((other) => {
      if (held.has(other) || harmless.isProven(other, getNow())) return false;
      const others = listServers(other);
      return isBlocked(other) && [...servers].every((server) => others.has(server));
    });
  };
  /** Whether a request may be tried that holds the blocked part; after several crashes only with pauses. */
  const mayTryPart = (suspect: Suspect, held: ReadonlySet<RequestDigest>): boolean => {
    const ends = registry.listCrashes(suspect.digest).map(({ at }) => at);
    const isEarly = ends.length < limits.blockingEnds + MAX_EARLY_TRIALS;
    const isRested = getNow() - Math.max(...ends) >= TRIAL_PAUSE_MS;
    return (isEarly || isRested) && isExplained(suspect, held);
  };
  const findSuspectBlock = (
    suspect: Suspect,
    held: ReadonlySet<RequestDigest>,
  ): FoundBlock | undefined => {
    const status = getStatus(suspect.digest);
    if (status.kind !== "blocked") return undefined;
    switch (suspect.kind) {
      case "request":
        return { suspect, left: status.left };
      case "prompt_part":
        return mayTryPart(suspect, held) ? undefined : { suspect, left: status.left };
      default:
        return assertNever(suspect);
    }
  };
  /** A part that no server has survived may have ended the server that broke the request off. */
  const mayResendSuspect = (suspect: Suspect, broken: ReadonlySet<ServerId>): boolean => {
    switch (suspect.kind) {
      case "request": {
        const status = getStatus(suspect.digest, broken);
        return status.kind === "unsuspected" || status.ends < CRASHES_TO_STOP_RETRIES;
      }
      case "prompt_part":
        return broken.size === 0 || harmless.isProven(suspect.digest, getNow());
      default:
        return assertNever(suspect);
    }
  };

  return {
    getStatus,
    findBlock: (suspects) => {
      const held = new Set(suspects.map(({ digest }) => digest));
      for (const suspect of suspects) {
        const found = findSuspectBlock(suspect, held);
        if (found) return found;
      }
      return undefined;
    },
    mayResend: (suspects, broken) =>
      suspects.every((suspect) => mayResendSuspect(suspect, broken)),
  };
};
