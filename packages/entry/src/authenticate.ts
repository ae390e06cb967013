/** Authenticates callers by their API keys. */
import type { IncomingMessage } from "node:http";
import { Err, Ok, type Result } from "@stairgauge/common";
import type { ApiFailure } from "./apiError.js";
import type { Caller, EntryDeps } from "./types.js";

const BEARER_PATTERN = /^Bearer +(\S{1,200})$/i;

/** Finds the workspace whose key is in the request's Authorization header. */
export const authenticate = (
  request: IncomingMessage,
  deps: EntryDeps,
): Result<Caller, ApiFailure> => {
  const index = deps.getIndex();
  if (!index) return Err({ kind: "not_ready" });
  const header = request.headers.authorization;
  if (header === undefined) return Err({ kind: "missing_key" });
  const key = BEARER_PATTERN.exec(header)?.[1];
  const workspace = key === undefined ? undefined : index.keys.findOwner(key);
  return workspace ? Ok({ workspace, index }) : Err({ kind: "wrong_key" });
};
