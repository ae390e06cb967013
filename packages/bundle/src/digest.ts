/** The digest that identifies a bundle: SHA-256 of its canonical JSON (RFC 8785). */
import { createHash } from "node:crypto";
import canonicalize from "canonicalize";
import type { Bundle } from "./types.js";

/** Renders a bundle as canonical JSON, so that equal bundles give equal text. */
export const renderCanonical = (bundle: Bundle): string => {
  const text = canonicalize(bundle);
  if (text === undefined) throw new TypeError("a bundle always has a canonical form");
  return text;
};

/** Computes the SHA-256 digest of a bundle's content, as lower-case hex. */
export const computeDigest = (content: string | Uint8Array): string =>
  createHash("sha256").update(content).digest("hex");
