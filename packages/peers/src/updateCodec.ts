/** Updates as bytes, and back; what another box sends is checked like any input. */
import type { BoxName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { z } from "zod";
import type { RunUpdate } from "./types.js";

const putSchema = z.object({
  server: z.string(),
  id: z.string(),
  prompt: z.number().nonnegative(),
  out: z.number().nonnegative(),
  begun: z.boolean(),
  movable: z.boolean(),
});

const updateSchema = z.object({
  box: z.string().min(1),
  whole: z.boolean(),
  put: z.array(putSchema),
  drop: z.array(z.object({ server: z.string(), id: z.string() })),
  leaving: z.array(z.object({ server: z.string(), gone: z.boolean() })).default([]),
});

/** Encodes an update. */
export const encodeUpdate = (update: RunUpdate): Buffer =>
  Buffer.from(
    JSON.stringify({
      box: update.box,
      whole: update.isWhole,
      put: update.put.map(({ server, run }) => ({
        server,
        id: run.id,
        prompt: run.promptTokens,
        out: run.expectedOut,
        begun: run.hasBegun,
        movable: run.isMovable,
      })),
      drop: update.drop,
      leaving: update.leaving.map(({ server, isEntryGone }) => ({
        server,
        gone: isEntryGone,
      })),
    }),
  );

/** Decodes an update; throws on bytes that are none, as the transport expects of a decoder. */
export const decodeUpdate = (bytes: Buffer): RunUpdate => {
  const update = updateSchema.parse(JSON.parse(bytes.toString("utf8")));
  return {
    box: update.box as BoxName,
    isWhole: update.whole,
    put: update.put.map(({ server, id, prompt, out, begun, movable }) => ({
      server: server as ServerId,
      run: {
        id,
        promptTokens: prompt,
        expectedOut: out,
        hasBegun: begun,
        isMovable: movable,
      },
    })),
    drop: update.drop.map(({ server, id }) => ({ server: server as ServerId, id })),
    leaving: update.leaving.map(({ server, gone }) => ({
      server: server as ServerId,
      isEntryGone: gone,
    })),
  };
};
