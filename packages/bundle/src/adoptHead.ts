/** Decides whether a box may adopt a head and its bundle. */
import { Err, type Result } from "@stairgauge/common";
import { countApprovals } from "./approval.js";
import { computeDigest } from "./digest.js";
import { parseBundle } from "./parseBundle.js";
import type { Bundle, BundleHead, HeadFailure, TrustedOperator } from "./types.js";

/** The operators whose approvals count, and the number of approvals needed. */
export type SignOffRules = Readonly<{
  trusted: readonly TrustedOperator[];
  approvalsNeeded: number;
}>;

/** An adopted bundle and the head that refers to it. */
export type ActiveBundle = Readonly<{ head: BundleHead; bundle: Bundle }>;

/** Checks version, digest, approvals and content, in this order. Only a higher version is adopted. */
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
