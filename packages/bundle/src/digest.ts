/** The bundle's identity: SHA-256 of its canonical JSON (RFC 8785). */
import { createHash } from "node:crypto";
import canonicalize from "canonicalize";
import type { Bundle } from "./types.js";

/** Renders a bundle as canonical JSON; equal bundles give equal text. */
export const renderCanonical = (bundle: Bundle): string => {
  const text = canonicalize(bundle);
  if (text === undefined) throw new TypeError("a bundle always has a canonical form");
  return text;
};

/** Computes the digest of canonical content, as lower-case hex. */
export const computeDigest = (content: string | Uint8Array): string =>
  createHash("sha256").update(content).digest("hex");
