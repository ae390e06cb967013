/** Decides whether a box may take a head into force. */
import { Err, type Result } from "@stairgauge/common";
import { countApprovals } from "./approval.js";
import { computeDigest } from "./digest.js";
import { parseBundle } from "./parseBundle.js";
import type { Bundle, BundleHead, HeadFailure, TrustedOperator } from "./types.js";

/** Whose approval counts, and how many are needed. */
export type SignOffRules = Readonly<{
  trusted: readonly TrustedOperator[];
  approvalsNeeded: number;
}>;

/** A bundle in force and the head that named it. */
export type ActiveBundle = Readonly<{ head: BundleHead; bundle: Bundle }>;

/** Checks version, digest, signatures and content, in that order; adopts only a higher version. */
export const adoptHead = (options: {
  readonly currentVersion: number;
  readonly head: BundleHead;
  readonly content: string;
  readonly rules: SignOffRules;
}): Result<ActiveBundle, HeadFailure> => {
  const { currentVersion, head, content, rules } = options;
  if (head.version <= currentVersion) {
    return Err({
      kind: "version_not_higher",
      current: currentVersion,
      offered: head.version,
    });
  }
  const actualDigest = computeDigest(content);
  if (actualDigest !== head.digest) {
    return Err({ kind: "content_mismatch", expectedDigest: head.digest, actualDigest });
  }
  const valid = countApprovals(head, rules.trusted);
  if (valid < rules.approvalsNeeded) {
    return Err({ kind: "too_few_approvals", valid, needed: rules.approvalsNeeded });
  }
  return parseBundle(content).map((bundle) => ({ head, bundle }));
};
