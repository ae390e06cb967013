/** Resume tokens: bound to a workspace, expiring, and good across rotated keys. */
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

  it("give back the claim while the key that signed is still listed", () => {
    expect(verify(token).val).toEqual({ claim: CLAIM, nextIndex: 7 });
    expect(verify(token, { keys: [NEW_KEY] }).val).toEqual({ kind: "unknown_key" });
  });

  it("are refused from another workspace, and once expired", () => {
    const other = "other" as WorkspaceName;
    expect(verify(token, { workspace: other }).val).toEqual({ kind: "wrong_signature" });
    expect(verify(token, { now: 1_000 as Ms }).val).toEqual({ kind: "expired_token" });
  });

  it("are refused when any character of the signed part changes", () => {
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

  it("never throw on random text", () => {
    const run = fc.property(fc.string({ maxLength: 600 }), (text) => {
      expect(verify(text).ok).toBe(false);
    });
    fc.assert(run, { seed: 6, numRuns: 500 });
  });
});
