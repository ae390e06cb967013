/** Faults of the stand-in engine's HTTP API, which tests and drills can switch on. */
import { z } from "zod";
import type { GenerationId } from "@stairgauge/common";
import { encodeFrame } from "@stairgauge/engines";
import type { EngineFrame } from "@stairgauge/streams";

/** Body of `PUT /standin/v1/fault`. */
export const engineFaultSchema = z.object({
  kind: z.enum([
    "none",
    "refuse",
    "garbage",
    "half_frame",
    "wrong_generation",
    "repeated_frame",
    "skipped_frame",
    "silent",
    "close_early",
  ]),
  /** Frames of a stream that are sent correctly before the fault. */
  afterTokens: z.int().min(0).default(0),
  /** Number of next streams that get the fault. */
  times: z.int().min(1).default(1),
});

/** A requested fault. */
export type EngineFault = z.infer<typeof engineFaultSchema>;

/** The text to write in place of a frame, and whether the stream then closes or stays silent. */
export type FaultyWrite = Readonly<{
  text: string;
  thenClose: boolean;
  thenSilent: boolean;
}>;

const WRONG_GENERATION = "another-generation" as GenerationId;

const toWrite = (text: string, rest: Partial<FaultyWrite> = {}): FaultyWrite => ({
  text,
  thenClose: false,
  thenSilent: false,
  ...rest,
});

/** Renders a frame with the fault applied. */
export const renderFaultyFrame = (
  fault: EngineFault,
  frame: EngineFrame,
): FaultyWrite => {
  const text = encodeFrame(frame);
  switch (fault.kind) {
    case "garbage":
      return toWrite("data: {not a frame\n\n");
    case "half_frame":
      return toWrite(text.slice(0, text.length / 2), { thenClose: true });
    case "wrong_generation":
      return toWrite(
        encodeFrame({
          kind: "token",
          generation: WRONG_GENERATION,
          index: 0,
          text: "X",
        }) + text,
      );
    case "repeated_frame":
      return toWrite(text + text);
    case "skipped_frame":
      return toWrite("");
    case "silent":
      return toWrite("", { thenSilent: true });
    case "close_early":
      return toWrite("", { thenClose: true });
    case "none":
    case "refuse":
      return toWrite(text);
  }
};
