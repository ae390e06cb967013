/** Reads the complete body of a client's request, up to the configured limit. */
import type { IncomingMessage } from "node:http";
import { Err, Ok, type Result } from "@stairgauge/common";

/** Why a body could not be read. */
export type RequestBodyFailure = Readonly<
  | { kind: "too_long"; limit: number }
  /** The client disconnected, or sent invalid framing. */
  | { kind: "client_left" }
>;

/** Reads the body; never buffers more than `limit` bytes. */
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
