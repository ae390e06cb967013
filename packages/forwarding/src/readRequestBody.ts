/** Reads a client's body whole, within the configured bound. */
import type { IncomingMessage } from "node:http";
import { Err, Ok, type Result } from "@stairgauge/common";

/** Why a body was not read. */
export type RequestBodyFailure = Readonly<
  | { kind: "too_long"; limit: number }
  /** The client left, or broke its own framing. */
  | { kind: "client_left" }
>;

/** Reads the body; more than `limit` bytes are not kept. */
export const readRequestBody = (
  incoming: IncomingMessage,
  limit: number,
): Promise<Result<Buffer, RequestBodyFailure>> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let length = 0;
    incoming.on("data", (chunk: Buffer) => {
      length += chunk.length;
      if (length > limit) {
        resolve(Err({ kind: "too_long", limit }));
        return;
      }
      chunks.push(chunk);
    });
    incoming.on("end", () =>
      resolve(Ok(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks))),
    );
    incoming.on("error", () => resolve(Err({ kind: "client_left" })));
    incoming.on("close", () => resolve(Err({ kind: "client_left" })));
  });
