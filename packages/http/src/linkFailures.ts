/** Types the errors that undici reports for an exchange with a backend server. */
import type { LinkFailure } from "@stairgauge/outcomes";

/** Codes that undici and the system give only while no connection exists yet. */
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

/** Types an error; only one from before the connection shows that nothing was sent. */
export const toLinkFailure = (error: unknown): LinkFailure => {
  const code = getCode(error);
  if (CONNECT_CODES.has(code)) return { kind: "connect_failed", detail: code };
  const message = error instanceof Error ? error.message : "unknown error";
  return { kind: "closed_early", detail: code || message };
};
