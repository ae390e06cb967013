/** Messages and exit codes for all failures of commands. */
import { assertNever } from "@stairgauge/common";
import type { FaultCounts } from "@stairgauge/diagnosis";
import type { OperatorFailure } from "@stairgauge/rollout";
import {
  EXIT_FAILED,
  EXIT_OVERTAKEN,
  EXIT_UNAVAILABLE,
  EXIT_UNKNOWN,
  EXIT_USAGE,
} from "./exitCodes.js";

/** Why a command failed. */
export type CommandFailure = Readonly<
  | OperatorFailure
  | { kind: "unreadable_file"; path: string; detail: string }
  | { kind: "wrong_settings"; path: string; detail: string }
  | { kind: "no_bundle" }
  | { kind: "no_log_lines"; faults: FaultCounts }
  | { kind: "unknown_request"; request: string }
  | { kind: "wrong_worth"; text: string }
  | { kind: "unwritable_file"; path: string; detail: string }
>;

/** A failure as a message for operators, with the exit code. */
export type ShownFailure = Readonly<{ sentence: string; exitCode: number }>;

const show = (exitCode: number, sentence: string): ShownFailure => ({
  sentence,
  exitCode,
});

/** Returns the message and the exit code for a failure. */
export const describeFailure = (failure: CommandFailure): ShownFailure => {
  switch (failure.kind) {
    case "store_unavailable":
      return show(
        EXIT_UNAVAILABLE,
        "The platform's store gave no answer; nothing was changed. Try again.",
      );
    case "unknown_digest":
      return show(
        EXIT_FAILED,
        `Nobody proposed ${failure.digest}; check the digest, or propose the bundle first.`,
      );
    case "content_changed":
      return show(
        EXIT_FAILED,
        `The stored content of ${failure.digest} is not what its digest says; propose it again.`,
      );
    case "own_proposal":
      return show(
        EXIT_FAILED,
        `${failure.proposer} proposed this bundle; another operator has to approve it.`,
      );
    case "unknown_operator":
      return show(
        EXIT_FAILED,
        `${failure.operator} is not among signOff.trustedOperators of the settings.`,
      );
    case "too_few_approvals":
      return show(
        EXIT_FAILED,
        `${failure.valid} of ${failure.needed} needed approvals hold; ask another operator to approve.`,
      );
    case "overtaken":
      return show(
        EXIT_OVERTAKEN,
        `${failure.by} rolled out version ${failure.version} (${failure.digest}) first; look at it, then roll out again.`,
      );
    case "outcome_unknown":
      return show(
        EXIT_UNKNOWN,
        "The store's answer was lost and could not be settled; look at `stairgauge bundle status` before you go on.",
      );
    case "invalid_bundle": {
      const faults = failure.faults.map(({ path, expected }) => `  ${path}: ${expected}`);
      return show(EXIT_USAGE, ["The bundle is not valid:", ...faults].join("\n"));
    }
    case "unreadable_file":
      return show(EXIT_USAGE, `${failure.path} cannot be read: ${failure.detail}.`);
    case "wrong_settings":
      return show(
        EXIT_USAGE,
        `The settings ${failure.path} are wrong:\n${failure.detail}`,
      );
    case "no_bundle":
      return show(
        EXIT_FAILED,
        "No bundle has been rolled out yet; propose, approve and roll out one.",
      );
    case "no_log_lines": {
      const { no_object, broken_object, foreign_object } = failure.faults;
      return show(
        EXIT_FAILED,
        `The files hold no line of a box: ${no_object} lines without JSON, ${broken_object} broken, ${foreign_object} of something else.`,
      );
    }
    case "unknown_request":
      return show(
        EXIT_FAILED,
        `No line names ${failure.request}: it reached no box, or its box ended before the line was written.`,
      );
    case "wrong_worth":
      return show(EXIT_USAGE, `${failure.text} is not ROUTE=NUMBER.`);
    case "unwritable_file":
      return show(EXIT_USAGE, `${failure.path} cannot be written: ${failure.detail}.`);
    default:
      return assertNever(failure);
  }
};
