/** Parses the bytes of an engine's answer into frames, with bounded memory. */
import { StringDecoder } from "node:string_decoder";
import { createParser } from "eventsource-parser";
import type { LinkFailure } from "@stairgauge/outcomes";
import type { EngineFrame } from "@stairgauge/streams";
import { MAX_FRAME_BYTES } from "./constants.js";
import { decodeFrame } from "./wire.js";

/** Maximum characters of a parser error that a failure quotes. */
const MAX_DETAIL_CHARACTERS = 80;

/** Reads chunks of any size. After the first failure no more frames are read. */
export type FrameReader = Readonly<{
  /** Reads the next bytes; returns the failure if this or an earlier chunk was malformed. */
  read: (chunk: Buffer) => LinkFailure | undefined;
}>;

/** Creates a reader that calls `onFrame` with each frame. */
export const createFrameReader = (onFrame: (frame: EngineFrame) => void): FrameReader => {
  const decoder = new StringDecoder("utf8");
  let failure: LinkFailure | undefined;
  let pendingBytes = 0;

  const parser = createParser({
    onEvent: (event) => {
      pendingBytes = 0;
      if (failure) return;
      const frame = decodeFrame(event.data);
      if (frame) {
        onFrame(frame);
        return;
      }
      failure = {
        kind: "garbage",
        detail: `${event.data.length} characters that are not a frame`,
      };
    },
    onError: (error) => {
      failure ??= {
        kind: "garbage",
        detail: error.message.slice(0, MAX_DETAIL_CHARACTERS),
      };
    },
  });

  return {
    read: (chunk) => {
      if (failure) return failure;
      pendingBytes += chunk.length;
      parser.feed(decoder.write(chunk));
      if (pendingBytes > MAX_FRAME_BYTES) {
        failure ??= { kind: "garbage", detail: "a frame over the size limit" };
      }
      return failure;
    },
  };
};
