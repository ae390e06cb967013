/** Resume tokens are bound to a workspace, expire, and stay valid while keys are rotated. */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type {
  BackendServerName,
  GenerationId,
  Ms,
  WorkspaceName,
} from "@stairgauge/common";
import { formatResumeToken, signResumeClaim, verifyResumeToken } from "./resumeToken.js";

const OLD_KEY = { id: "old", secret: "o".repeat(32) };
const NEW_KEY = { id: "new", secret: "n".repeat(32) };
const WORKSPACE = "kerlann" as WorkspaceName;
const CLAIM = {
  server: "engine-1" as BackendServerName,
  generation: "g_-1" as GenerationId,
  workspace: WORKSPACE,
  expiresAt: 1_000 as Ms,
};
const verify = (
  token: string,
  options: Partial<Parameters<typeof verifyResumeToken>[0]> = {},
) =>
  verifyResumeToken({
    token,
    keys: [NEW_KEY, OLD_KEY],
    workspace: WORKSPACE,
    now: 999 as Ms,
    ...options,
  });

describe("resume tokens", () => {
  const token = formatResumeToken(signResumeClaim(OLD_KEY, CLAIM), 7);

  it("return the claim while the signing key is listed, and are refused once it is removed", () => {
    expect(verify(token).val).toEqual({ claim: CLAIM, nextIndex: 7 });
    expect(verify(token, { keys: [NEW_KEY] }).val).toEqual({ kind: "unknown_key" });
  });

  it("are refused for another workspace and after they expire", () => {
    const other = "other" as WorkspaceName;
    expect(verify(token, { workspace: other }).val).toEqual({ kind: "wrong_signature" });
    expect(verify(token, { now: 1_000 as Ms }).val).toEqual({ kind: "expired_token" });
  });

  it("are refused if any character of the signed part is changed", () => {
    const signedLength = token.lastIndexOf("~");
    const run = fc.property(
      fc.nat(signedLength - 1),
      fc.constantFrom("A", "z", "0"),
      (at, other) => {
        if (token[at] === other) return;
        expect(verify(token.slice(0, at) + other + token.slice(at + 1)).ok).toBe(false);
      },
    );
    fc.assert(run, { seed: 5, numRuns: 500 });
  });

  it("are refused without an exception for random text", () => {
    const run = fc.property(fc.string({ maxLength: 600 }), (text) => {
      expect(verify(text).ok).toBe(false);
    });
    fc.assert(run, { seed: 6, numRuns: 500 });
  });
});
