/** Converts an engine's refusals to typed failures. */
import type { LinkFailure } from "@stairgauge/outcomes";
import { GENERATION_GONE_KIND, LEAVING_KIND, refusalSchema } from "./wire.js";

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/**
 * Converts an answer with an error status to a failure. If its body is malformed, the request may have
 * run.
 */
export const toRefusal = (status: number, body: string): LinkFailure => {
  const parsed = refusalSchema.safeParse(parseJson(body));
  if (!parsed.success) {
    return { kind: "refused", status, ranNothing: false, isLeaving: false };
  }
  const { error, outcome } = parsed.data;
  if (error.kind === GENERATION_GONE_KIND) return { kind: "generation_gone" };
  return {
    kind: "refused",
    status,
    ranNothing: outcome === "not_run",
    isLeaving: error.kind === LEAVING_KIND,
  };
};
