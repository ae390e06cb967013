/** Reads the Idempotency-Key header, with which a caller asks that a call run at most once. */
import type { IncomingMessage } from "node:http";
import type { OnceKey } from "@stairgauge/claims";
import { Err, Ok, type Result, type WorkspaceName } from "@stairgauge/common";
import type { ApiFailure } from "./apiError.js";

const KEY_PATTERN = /^[\x21-\x7e]{1,200}$/;
const HEADER = "idempotency-key";

/** Returns the key, undefined if there is none, or a failure if it is invalid. */
export const readOnceKey = (
  request: IncomingMessage,
  workspace: WorkspaceName,
): Result<OnceKey | undefined, ApiFailure> => {
  const key = request.headers[HEADER];
  if (key === undefined) return Ok(undefined);
  if (typeof key === "string" && KEY_PATTERN.test(key)) return Ok({ workspace, key });
  const expected = "expected 1 to 200 visible characters";
  return Err({ kind: "invalid_field", param: "Idempotency-Key", expected });
};
