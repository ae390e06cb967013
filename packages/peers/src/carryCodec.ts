/**
 * Codec for carried requests. A question is its length-prefixed JSON head, followed by the body; a frame
 * is one byte for its kind, followed by JSON or by bytes of the answer's body.
 */
import type { ServerId } from "@stairgauge/directory";
import type { CarryFrame, CarryQuestion } from "@stairgauge/paths";
import { z } from "zod";

const LENGTH_BYTES = 4;

const questionSchema = z.object({
  server: z.string().min(1),
  new: z.boolean(),
  method: z.string().min(1),
  target: z.string().min(1),
  headers: z.array(z.string()),
});

/** Encodes a question. */
export const encodeCarryQuestion = (question: CarryQuestion): Buffer => {
  const { server, isNewWork, method, target, headers, body } = question;
  const head = Buffer.from(
    JSON.stringify({ server, new: isNewWork, method, target, headers }),
  );
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(head.length);
  return Buffer.concat([length, head, body]);
};

/** Decodes a question; throws on invalid bytes, as gRPC expects of a decoder. */
export const decodeCarryQuestion = (bytes: Buffer): CarryQuestion => {
  const bodyStart = LENGTH_BYTES + bytes.readUInt32BE(0);
  const head: unknown = JSON.parse(bytes.toString("utf8", LENGTH_BYTES, bodyStart));
  const { server, new: isNewWork, ...rest } = questionSchema.parse(head);
  const body = bytes.subarray(bodyStart);
  return { ...rest, server: server as ServerId, isNewWork, body };
};

const frameSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("refused"),
    // A reason of a later release means the same to this box: nothing was sent.
    reason: z
      .enum([
        "path_lost",
        "no_room",
        "stopping",
        "server_unknown",
        "server_leaving",
        "unsendable",
      ])
      .catch("no_room"),
  }),
  z.object({ kind: z.literal("unreached"), detail: z.string() }),
  z.object({ kind: z.literal("connected") }),
  z.object({
    kind: z.literal("head"),
    status: z.int(),
    reason: z.string(),
    headers: z.array(z.string()),
  }),
  z.object({ kind: z.literal("ended"), by: z.enum(["framing", "connection"]) }),
  z.object({
    kind: z.literal("failed"),
    as: z.enum(["broken", "malformed"]),
    detail: z.string(),
  }),
]);

const DATA = 0;
const JSON_FRAME = 1;

/** Encodes a frame. */
export const encodeCarryFrame = (frame: CarryFrame): Buffer =>
  frame.kind === "data"
    ? Buffer.concat([Buffer.of(DATA), frame.bytes])
    : Buffer.concat([Buffer.of(JSON_FRAME), Buffer.from(JSON.stringify(frame))]);

/** Decodes a frame; throws on invalid bytes, as gRPC expects of a decoder. */
export const decodeCarryFrame = (bytes: Buffer): CarryFrame => {
  if (bytes[0] === DATA) return { kind: "data", bytes: bytes.subarray(1) };
  return frameSchema.parse(JSON.parse(bytes.toString("utf8", 1)));
};
