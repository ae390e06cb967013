/** Operators' Ed25519 signatures of a bundle's digest. */
import { createPublicKey, sign, verify } from "node:crypto";
import { APPROVAL_CONTEXT } from "./constants.js";
import type { Approval, BundleHead, TrustedOperator } from "./types.js";

const toSignedBytes = (digest: string, operator: string): Buffer =>
  Buffer.from(`${APPROVAL_CONTEXT}\n${operator}\n${digest}`);

/** Signs a digest as `operator` with a PEM private key (PKCS 8, Ed25519). */
export const signDigest = (options: {
  readonly digest: string;
  readonly operator: string;
  readonly privateKey: string;
}): Approval => {
  const bytes = toSignedBytes(options.digest, options.operator);
  const signature = sign(null, bytes, options.privateKey).toString("base64");
  return { operator: options.operator, signature };
};

const isValidApproval = (
  approval: Approval,
  digest: string,
  trusted: readonly TrustedOperator[],
): boolean =>
  trusted.some((one) => {
    if (one.operator !== approval.operator) return false;
    const bytes = toSignedBytes(digest, approval.operator);
    const signature = Buffer.from(approval.signature, "base64");
    return verify(null, bytes, createPublicKey(one.publicKey), signature);
  });

/** Counts the trusted operators, except the proposer, with a valid signature. */
export const countApprovals = (
  head: BundleHead,
  trusted: readonly TrustedOperator[],
): number => {
  const valid = head.approvals.filter(
    (approval) =>
      approval.operator !== head.proposer &&
      isValidApproval(approval, head.digest, trusted),
  );
  return new Set(valid.map((approval) => approval.operator)).size;
};
