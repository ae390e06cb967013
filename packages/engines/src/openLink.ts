/** Opens one HTTP call to an engine whose answer is streamed, with undici. */
import type { Dispatcher } from "undici";
import { toLinkFailure } from "@stairgauge/http";
import type { LinkFailure } from "@stairgauge/outcomes";
import { createFrameReader } from "./frameReader.js";
import { toRefusal } from "./refusals.js";
import type { EngineLink, LinkHandlers } from "./types.js";

const OK_STATUS = 200;
/** Length of a refusal's body after which no more chunks are kept. */
const MAX_REFUSAL_CHARACTERS = 4_096;

/** An HTTP call whose answer is a stream of frames. */
export type LinkCall = Readonly<{
  origin: string;
  path: string;
  method: "GET" | "POST";
  body: string | null;
}>;

/**
 * Opens the call. It uses undici's `dispatch` instead of readable streams, because at thousands of
 * tokens per second the stream objects cost more than the parsing.
 */
export const openLink = (
  dispatcher: Dispatcher,
  call: LinkCall,
  handlers: LinkHandlers,
): EngineLink => {
  let controller: Dispatcher.DispatchController | undefined;
  let isOver = false;
  let isPaused = false;
  let status = 0;
  let refusalBody = "";

  const end = (failure: LinkFailure | undefined) => {
    if (isOver) return;
    isOver = true;
    handlers.onEnd(failure);
  };
  const abort = () => controller?.abort(new Error("link closed by this side"));
  const reader = createFrameReader((frame) => {
    if (!isOver) handlers.onFrame(frame);
  });
  const readBody = (chunk: Buffer) => {
    if (status !== OK_STATUS) {
      if (refusalBody.length < MAX_REFUSAL_CHARACTERS) refusalBody += chunk.toString();
      return;
    }
    const failure = reader.read(chunk);
    if (!failure) return;
    end(failure);
    abort();
  };

  dispatcher.dispatch(
    {
      origin: call.origin,
      path: call.path,
      method: call.method,
      body: call.body,
      headers: call.body === null ? {} : { "content-type": "application/json" },
      // NOTE: no timeout, since the stream session itself detects a silent engine by missing frames and
      // heartbeats.
      bodyTimeout: 0,
    },
    {
      onRequestStart: (started) => {
        controller = started;
        if (isOver) abort();
      },
      onResponseStart: (_controller, statusCode) => {
        status = statusCode;
        if (isPaused) controller?.pause();
      },
      onResponseData: (_controller, chunk) => readBody(chunk),
      onResponseEnd: () =>
        end(status === OK_STATUS ? undefined : toRefusal(status, refusalBody)),
      onResponseError: (_controller, error) => end(toLinkFailure(error)),
    },
  );

  return {
    pause: () => {
      isPaused = true;
      controller?.pause();
    },
    resume: () => {
      isPaused = false;
      controller?.resume();
    },
    close: () => {
      if (isOver) return;
      isOver = true;
      abort();
    },
  };
};
