/** Converts errors of undici requests to typed failures. */
import type { LinkFailure } from "@stairgauge/outcomes";

/** Error codes that undici and the system report only before a connection is established. */
const CONNECT_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

const getCode = (error: unknown): string => {
  const code = (error as { readonly code?: unknown } | null)?.code;
  return typeof code === "string" ? code : "";
};

/** Converts an error; `connect_failed` means that nothing was sent, `closed_early` that the request may have been. */
export const toLinkFailure = (error: unknown): LinkFailure => {
  const code = getCode(error);
  if (CONNECT_CODES.has(code)) return { kind: "connect_failed", detail: code };
  const message = error instanceof Error ? error.message : "unknown error";
  return { kind: "closed_early", detail: code || message };
};
