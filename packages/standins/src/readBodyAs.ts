/** Reads and validates the request bodies of the stand-ins. */
import type { z } from "zod";
import type { Clock } from "@stairgauge/common";
import {
  BODY_IDLE_TIMEOUT_MS,
  BODY_TOTAL_TIMEOUT_MS,
  readJsonBody,
  sendJson,
  type HttpExchange,
} from "@stairgauge/http";

const LIMITS = {
  maxBytes: 64 * 1024 * 1024,
  idleTimeout: BODY_IDLE_TIMEOUT_MS,
  totalTimeout: BODY_TOTAL_TIMEOUT_MS,
};

/** Returns the body if it fits the schema; otherwise sends 400 and returns undefined. */
export const readBodyAs = async <T>(
  { request, response }: HttpExchange,
  schema: z.ZodType<T>,
  clock: Clock,
): Promise<T | undefined> => {
  const body = await readJsonBody(request, LIMITS, clock);
  const parsed = body.ok ? schema.safeParse(body.val) : undefined;
  if (parsed?.success) return parsed.data;
  const message = body.err ? body.val.kind : (parsed?.error?.message ?? "bad body");
  sendJson(response, 400, {
    error: { kind: "bad_request", message },
    outcome: "not_run",
  });
  return undefined;
};
