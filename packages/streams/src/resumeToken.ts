/**
 * Resume tokens, with which a caller continues its stream on any box.
 *
 * The HMAC covers everything but the index, so that it is computed once for many tokens. The index
 * needs no protection: it is only a position in the caller's own generation.
 */
import { createHmac, timingSafeEqual } from "node:crypto";
import {
  Err,
  Ok,
  type BackendServerName,
  type GenerationId,
  type Ms,
  type Result,
  type WorkspaceName,
} from "@stairgauge/common";

const CONTEXT = "stairgauge resume v1";
const MAC_BYTES = 16;
const SEPARATOR = "~";
const INDEX_PATTERN = /^\d{1,9}$/;
const TOKEN_FIELDS = 6;
const MAX_TOKEN_LENGTH = 400;

/** A secret key for resume tokens. Of a list of keys, the first signs and all verify. */
export type ResumeKey = Readonly<{ id: string; secret: string }>;

/** The signed content of a resume token. */
export type ResumeClaim = Readonly<{
  server: BackendServerName;
  generation: GenerationId;
  workspace: WorkspaceName;
  /** Time of day, in milliseconds since 1970, from which the token is refused. */
  expiresAt: Ms;
}>;

/** Why a resume token was refused. */
export type ResumeTokenFailure = Readonly<
  | { kind: "malformed_token" }
  | { kind: "unknown_key" }
  | { kind: "wrong_signature" }
  | { kind: "expired_token" }
>;

const computeMac = (key: ResumeKey, claim: ResumeClaim): string =>
  createHmac("sha256", key.secret)
    .update(
      [
        CONTEXT,
        key.id,
        claim.server,
        claim.generation,
        claim.expiresAt,
        claim.workspace,
      ].join("\n"),
    )
    .digest()
    .subarray(0, MAC_BYTES)
    .toString("base64url");

/** Signs a claim. `formatResumeToken` appends the index of the next token to the result. */
export const signResumeClaim = (key: ResumeKey, claim: ResumeClaim): string =>
  [
    key.id,
    claim.server,
    claim.generation,
    claim.expiresAt.toString(36),
    computeMac(key, claim),
  ].join(SEPARATOR);

/** Builds the resume token from a signed claim and the index of the next token of the stream. */
export const formatResumeToken = (signedClaim: string, nextIndex: number): string =>
  `${signedClaim}${SEPARATOR}${nextIndex}`;

/** Verifies a token for a workspace. A token of another workspace fails with `wrong_signature`. */
export const verifyResumeToken = (options: {
  readonly token: string;
  readonly keys: readonly ResumeKey[];
  readonly workspace: WorkspaceName;
  readonly now: Ms;
}): Result<Readonly<{ claim: ResumeClaim; nextIndex: number }>, ResumeTokenFailure> => {
  const fields = options.token.slice(0, MAX_TOKEN_LENGTH).split(SEPARATOR);
  const [keyId, server, generation, expiry, mac, index] = fields;
  if (
    fields.length !== TOKEN_FIELDS ||
    !index ||
    !INDEX_PATTERN.test(index) ||
    !mac ||
    !expiry
  ) {
    return Err({ kind: "malformed_token" });
  }
  const key = options.keys.find((candidate) => candidate.id === keyId);
  if (!key) return Err({ kind: "unknown_key" });
  const claim: ResumeClaim = {
    server: server as BackendServerName,
    generation: generation as GenerationId,
    workspace: options.workspace,
    expiresAt: Number.parseInt(expiry, 36) as Ms,
  };
  const expected = Buffer.from(computeMac(key, claim));
  const presented = Buffer.from(mac);
  if (expected.length !== presented.length || !timingSafeEqual(expected, presented)) {
    return Err({ kind: "wrong_signature" });
  }
  if (claim.expiresAt <= options.now) return Err({ kind: "expired_token" });
  return Ok({ claim, nextIndex: Number(index) });
};
