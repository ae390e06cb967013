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

/** Size of the buffers that a body is copied into: an eighth of what came before, and no less than this. */
const SPARE_SHARE = 1 / 8;
const MIN_BUFFER_BYTES = 64;

/** Collects bytes in few buffers. */
const createCollector = () => {
  const full: Buffer[] = [];
  let last = Buffer.alloc(0);
  /** Bytes of the last buffer that are used. */
  let used = 0;
  let length = 0;

  const startBuffer = (bytes: number) => {
    if (used > 0) full.push(last);
    const spare = Math.max(MIN_BUFFER_BYTES, Math.floor(length * SPARE_SHARE));
    last = Buffer.allocUnsafeSlow(length === 0 ? bytes : Math.max(bytes, spare));
    used = 0;
  };
  return {
    getLength: () => length,
    append: (chunk: Buffer) => {
      const fitting = chunk.copy(last, used);
      used += fitting;
      length += fitting;
      if (fitting === chunk.length) return;
      startBuffer(chunk.length - fitting);
      const rest = chunk.copy(last, 0, fitting);
      used = rest;
      length += rest;
    },
    join: (): Buffer => {
      const end = last.subarray(0, used);
      return full.length === 0 ? end : Buffer.concat([...full, end], length);
    },
  };
};

/**
 * Reads the body; never holds more than `limit` bytes, nor more than the share takes. The chunks are copied: each would
 * cost some hundred bytes, however short it is, and keep the whole read that brought it.
 */
export const readRequestBody = ({
  incoming,
  limit,
  share,
}: RequestBodyOptions): Promise<Result<Buffer, RequestBodyFailure>> =>
  new Promise((resolve) => {
    let body = createCollector();
    let isOver = false;
    const fail = (failure: RequestBodyFailure) => {
      isOver = true;
      body = createCollector();
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
