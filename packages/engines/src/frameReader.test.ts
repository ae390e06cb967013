/** Tests the frame reader with random chunks, random bytes and oversized frames. */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { GenerationId } from "@stairgauge/common";
import type { EngineFrame } from "@stairgauge/streams";
import { MAX_FRAME_BYTES } from "./constants.js";
import { createFrameReader } from "./frameReader.js";
import { encodeFrame } from "./wire.js";

const GENERATION = "g1" as GenerationId;

const readAll = (chunks: readonly Uint8Array[]) => {
  const frames: EngineFrame[] = [];
  const reader = createFrameReader((frame) => frames.push(frame));
  const failures = chunks.map((chunk) => reader.read(Buffer.from(chunk)));
  return { frames, failure: failures.find((failure) => failure !== undefined) };
};

const FRAME = fc.oneof(
  fc.record({
    kind: fc.constant("token" as const),
    generation: fc.constant(GENERATION),
    index: fc.nat(),
    text: fc.string({ unit: "binary", maxLength: 20 }).map((text) => text.toWellFormed()),
  }),
  fc.constant({ kind: "heartbeat" as const }),
  fc.record({
    kind: fc.constant("end" as const),
    generation: fc.constant(GENERATION),
    reason: fc.constantFrom("stop" as const, "length" as const),
    tokens: fc.nat(),
    promptTokens: fc.nat(),
  }),
);

const splitAt = (bytes: Uint8Array, cuts: readonly number[]): readonly Uint8Array[] => {
  const offsets = [0, ...cuts.map((cut) => cut % (bytes.length + 1)), bytes.length];
  const sorted = offsets.sort((a, b) => a - b);
  return sorted.slice(1).map((end, i) => bytes.subarray(sorted[i], end));
};

describe("createFrameReader", () => {
  it("reads the same frames however the bytes are split into chunks", () => {
    const cuts = fc.array(fc.nat(), { maxLength: 30 });
    const run = fc.property(fc.array(FRAME, { maxLength: 12 }), cuts, (frames, at) => {
      const bytes = new TextEncoder().encode(frames.map(encodeFrame).join(""));
      expect(readAll(splitAt(bytes, at))).toEqual({ frames, failure: undefined });
    });
    fc.assert(run, { seed: 1, numRuns: 500 });
  });

  it("reads no frame from random bytes and does not throw", () => {
    const chunks = fc.array(fc.uint8Array({ maxLength: 200 }), { maxLength: 10 });
    const run = fc.property(chunks, (some) => {
      expect(readAll(some).frames).toEqual([]);
    });
    fc.assert(run, { seed: 2, numRuns: 500 });
  });

  it("reports malformed data as garbage and reads no frame after it", () => {
    const text = `data: nonsense\n\n${encodeFrame({ kind: "heartbeat" })}`;
    const { frames, failure } = readAll([new TextEncoder().encode(text)]);
    expect(frames).toEqual([]);
    expect(failure).toMatchObject({ kind: "garbage" });
  });

  it("fails when a frame without an end exceeds the size limit", () => {
    const endless = new TextEncoder().encode(`data: ${"x".repeat(MAX_FRAME_BYTES)}`);
    expect(readAll([endless]).failure).toMatchObject({ kind: "garbage" });
  });
});
