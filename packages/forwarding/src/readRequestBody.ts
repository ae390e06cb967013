/** Reads the complete body of a client's request, up to the configured limit and the memory that is left. */
import type { IncomingMessage } from "node:http";
import { Err, Ok, type Result } from "@stairgauge/common";
import type { BodyShare } from "./bodyMemory.js";
import { createByteCollector } from "./byteCollector.js";

/** Why a body could not be read. */
export type RequestBodyFailure = Readonly<
  | { kind: "too_long"; limit: number }
  /** The memory for bodies is used up. */
  | { kind: "no_memory" }
  /** The client disconnected, or sent invalid framing. */
  | { kind: "client_left" }
>;

/** Options of the read. */
export type RequestBodyOptions = Readonly<{
  incoming: IncomingMessage;
  /** Largest body, in bytes. */
  limit: number;
  share: Pick<BodyShare, "take">;
}>;

/** Reads the body; never holds more than `limit` bytes, nor more than the share takes. */
export const readRequestBody = ({
  incoming,
  limit,
  share,
}: RequestBodyOptions): Promise<Result<Buffer, RequestBodyFailure>> =>
  new Promise((resolve) => {
    let body = createByteCollector();
    let isOver = false;
    const fail = (failure: RequestBodyFailure) => {
      isOver = true;
      body = createByteCollector();
      resolve(Err(failure));
    };
    incoming.on("data", (chunk: Buffer) => {
      if (isOver) return;
      if (body.getLength() + chunk.length > limit) fail({ kind: "too_long", limit });
      else if (!share.take(chunk.length)) fail({ kind: "no_memory" });
      else body.append(chunk);
    });
    incoming.on("end", () => resolve(Ok(body.join())));
    incoming.on("error", () => fail({ kind: "client_left" }));
    incoming.on("close", () => resolve(Err({ kind: "client_left" })));
  });
