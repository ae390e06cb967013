/** Reads a request's body within bounds of size, pause and total time. */
import type { IncomingMessage } from "node:http";
import {
  Err,
  Ok,
  type Clock,
  type Ms,
  type Result,
  type Timer,
} from "@stairgauge/common";

/** Bounds of a body. */
export type BodyLimits = Readonly<{
  maxBytes: number;
  idleTimeout: Ms;
  totalTimeout: Ms;
}>;

/** Why a body was not read. */
export type BodyFailure = Readonly<
  | { kind: "body_too_large"; maxBytes: number }
  | { kind: "body_too_slow" }
  | { kind: "body_cut_off" }
  | { kind: "body_not_json"; detail: string }
>;

/** Reads the body whole. After a failure the rest of the body is not read. */
export const readBody = (
  request: IncomingMessage,
  limits: BodyLimits,
  clock: Clock,
): Promise<Result<Buffer, BodyFailure>> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    let idle: Timer | undefined;
    const total = clock.setTimer(limits.totalTimeout, () =>
      finish(Err({ kind: "body_too_slow" })),
    );

    const finish = (result: Result<Buffer, BodyFailure>) => {
      idle?.cancel();
      total.cancel();
      request.off("data", handleData).off("end", handleEnd).off("close", handleClose);
      request.pause();
      resolve(result);
    };
    const watchIdle = () => {
      idle?.cancel();
      idle = clock.setTimer(limits.idleTimeout, () =>
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
      watchIdle();
    };
    const handleEnd = () => finish(Ok(Buffer.concat(chunks)));
    const handleClose = () => finish(Err({ kind: "body_cut_off" }));

    const announced = Number(request.headers["content-length"] ?? 0);
    if (announced > limits.maxBytes) {
      finish(Err({ kind: "body_too_large", maxBytes: limits.maxBytes }));
      return;
    }
    watchIdle();
    request.on("data", handleData).on("end", handleEnd).on("close", handleClose);
    request.on("error", handleClose);
  });

/** Reads the body as JSON. */
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
