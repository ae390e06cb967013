/** Stored answers, which are sent again when the caller repeats the call. */
import { createHash } from "node:crypto";
import type { ServerResponse } from "node:http";
import type { KeptAnswer } from "@stairgauge/outcomes";
import type { PassedHeaders } from "./serviceTarget.js";

/** Converts an answer to its stored form. */
export const toKeptAnswer = (answer: {
  readonly status: number;
  readonly headers: PassedHeaders;
  readonly body: Buffer;
}): KeptAnswer => ({
  status: answer.status,
  headers: answer.headers,
  body: answer.body.toString("base64"),
});

/** Sends a stored answer, unless a response has begun or the connection is closed. */
export const sendKeptAnswer = (response: ServerResponse, kept: KeptAnswer): void => {
  if (response.headersSent || response.destroyed) return;
  const body = Buffer.from(kept.body, "base64");
  response.writeHead(kept.status, {
    ...kept.headers,
    "content-length": body.length,
  } as never);
  response.end(body);
};

/** Hashes a call's content, so that other content under the same key can be refused. */
export const computeContentHash = (parts: readonly (string | Buffer)[]): string => {
  const hash = createHash("sha256");
  for (const part of parts) hash.update(`${part.length}\n`).update(part);
  return hash.digest("hex");
};
