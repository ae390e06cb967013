/** Reads request bodies, with limits on size, idle time and total time. */
import type { IncomingMessage } from "node:http";
import {
  Err,
  Ok,
  type Clock,
  type Ms,
  type Result,
  type Timer,
} from "@stairgauge/common";

/** Limits on a request body. */
export type BodyLimits = Readonly<{
  maxBytes: number;
  /** Longest time between two chunks. */
  idleTimeout: Ms;
  totalTimeout: Ms;
}>;

/** Why a body could not be read. */
export type BodyFailure = Readonly<
  | { kind: "body_too_large"; maxBytes: number }
  | { kind: "body_too_slow" }
  | { kind: "body_cut_off" }
  | { kind: "body_not_json"; detail: string }
>;

/** Reads the whole body. After a failure, the rest of it is left unread. */
export const readBody = (
  request: IncomingMessage,
  limits: BodyLimits,
  clock: Clock,
): Promise<Result<Buffer, BodyFailure>> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    let idleTimer: Timer | undefined;
    const totalTimer = clock.setTimeLimit(limits.totalTimeout, () =>
      finish(Err({ kind: "body_too_slow" })),
    );

    const finish = (result: Result<Buffer, BodyFailure>) => {
      idleTimer?.cancel();
      totalTimer.cancel();
      request.off("data", handleData).off("end", handleEnd).off("close", handleClose);
      request.pause();
      resolve(result);
    };
    const resetIdleTimer = () => {
      idleTimer?.cancel();
      idleTimer = clock.setTimeLimit(limits.idleTimeout, () =>
        finish(Err({ kind: "body_too_slow" })),
      );
    };
    const handleData = (chunk: Buffer) => {
      size += chunk.length;
      if (size > limits.maxBytes) {
        finish(Err({ kind: "body_too_large", maxBytes: limits.maxBytes }));
        return;
      }
      chunks.push(chunk);
      resetIdleTimer();
    };
    const handleEnd = () => finish(Ok(Buffer.concat(chunks)));
    const handleClose = () => finish(Err({ kind: "body_cut_off" }));

    const contentLength = Number(request.headers["content-length"] ?? 0);
    if (contentLength > limits.maxBytes) {
      finish(Err({ kind: "body_too_large", maxBytes: limits.maxBytes }));
      return;
    }
    resetIdleTimer();
    request.on("data", handleData).on("end", handleEnd).on("close", handleClose);
    request.on("error", handleClose);
  });

/** Reads the whole body and parses it as JSON in UTF-8. */
export const readJsonBody = async (
  request: IncomingMessage,
  limits: BodyLimits,
  clock: Clock,
): Promise<Result<unknown, BodyFailure>> => {
  const body = await readBody(request, limits, clock);
  if (body.err) return body;
  try {
    const text = new TextDecoder("utf-8", { fatal: true }).decode(body.val);
    return Ok(JSON.parse(text) as unknown);
  } catch (error) {
    const detail = error instanceof Error ? error.message : "not JSON";
    return Err({ kind: "body_not_json", detail });
  }
};
