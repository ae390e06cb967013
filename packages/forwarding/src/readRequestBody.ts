/** Reads the complete body of a client's request, up to the configured limit and the memory that is left. */
import type { IncomingMessage } from "node:http";
import { Err, Ok, type Result } from "@stairgauge/common";
import type { BodyShare } from "./bodyMemory.js";

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

const NOTHING = Buffer.alloc(0);

/** By how much more than needed the buffer of a body grows: few copies, and little memory beside the bytes. */
const SPARE_SHARE = 1 / 8;
const SPARE_BYTES = 64;

/**
 * Reads the body; never holds more than `limit` bytes, nor more than the share takes. It is copied into one buffer: a
 * chunk of its own would cost some hundred bytes, however short it is, and keep the whole read that brought it.
 */
export const readRequestBody = ({
  incoming,
  limit,
  share,
}: RequestBodyOptions): Promise<Result<Buffer, RequestBodyFailure>> =>
  new Promise((resolve) => {
    let body = NOTHING;
    let length = 0;
    let isOver = false;
    const fail = (failure: RequestBodyFailure) => {
      isOver = true;
      body = NOTHING;
      resolve(Err(failure));
    };
    const makeRoom = (needed: number) => {
      if (needed <= body.length) return;
      const spare = length === 0 ? 0 : Math.floor(length * SPARE_SHARE) + SPARE_BYTES;
      const larger = Buffer.allocUnsafeSlow(Math.min(limit, needed + spare));
      body.copy(larger, 0, 0, length);
      body = larger;
    };
    const append = (chunk: Buffer) => {
      makeRoom(length + chunk.length);
      chunk.copy(body, length);
      length += chunk.length;
    };
    incoming.on("data", (chunk: Buffer) => {
      if (isOver) return;
      if (length + chunk.length > limit) fail({ kind: "too_long", limit });
      else if (!share.take(chunk.length)) fail({ kind: "no_memory" });
      else append(chunk);
    });
    incoming.on("end", () => resolve(Ok(body.subarray(0, length))));
    incoming.on("error", () => fail({ kind: "client_left" }));
    incoming.on("close", () => resolve(Err({ kind: "client_left" })));
  });
