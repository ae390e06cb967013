/** Codec for what streams are bound to, in updates and in answers. Messages are validated like any input. */
import type { Ms, ServiceName } from "@stairgauge/common";
import type { SoftwareVersion } from "@stairgauge/directory";
import {
  STREAM_KEY,
  type OriginAnswer,
  type OriginQuestion,
  type SharedOrigin,
  type StreamKey,
} from "@stairgauge/origins";
import { z } from "zod";

const keySchema = z
  .string()
  .regex(STREAM_KEY)
  .transform((key) => key as StreamKey);

/** Key, service, software version (null if not certain) and the time left in milliseconds. */
export const originSchema = z.tuple([
  keySchema,
  z.string(),
  z.string().nullable(),
  z.number().nonnegative(),
]);

type WireOrigin = z.infer<typeof originSchema>;

/** The origins of an update; boxes of earlier releases send none. */
export const originsSchema = z.array(z.unknown()).optional().catch(undefined);

const encodeOrigin = ({ key, binding, left }: SharedOrigin): WireOrigin => [
  key,
  binding.service,
  binding.softwareVersion ?? null,
  Math.ceil(left),
];

const decodeOrigin = ([key, service, version, left]: WireOrigin): SharedOrigin => ({
  key,
  binding: {
    service: service as ServiceName,
    softwareVersion: (version ?? undefined) as SoftwareVersion | undefined,
  },
  left: left as Ms,
});

/** Left out of the message when empty. */
export const encodeOrigins = (origins: readonly SharedOrigin[] = []) =>
  origins.length > 0 ? { origins: origins.map(encodeOrigin) } : {};

/** Left out when the message has none. */
export const decodeOrigins = (origins: readonly WireOrigin[] | undefined) =>
  origins ? { origins: origins.map(decodeOrigin) } : {};

const questionSchema = z.object({ key: keySchema });
const answerSchema = z.object({ origin: originSchema.optional() });

const encode = (value: unknown): Buffer => Buffer.from(JSON.stringify(value));
const parse = (bytes: Buffer): unknown => JSON.parse(bytes.toString("utf8"));

/** Encodes a question about a stream. */
export const encodeOriginQuestion = ({ key }: OriginQuestion): Buffer => encode({ key });

/** Decodes a question about a stream; throws on invalid bytes, as gRPC expects of a decoder. */
export const decodeOriginQuestion = (bytes: Buffer): OriginQuestion =>
  questionSchema.parse(parse(bytes));

/** Encodes the answer to such a question. */
export const encodeOriginAnswer = (answer: OriginAnswer): Buffer =>
  encode(answer.kind === "known" ? { origin: encodeOrigin(answer.origin) } : {});

/** Decodes such an answer; throws on invalid bytes, as gRPC expects of a decoder. */
export const decodeOriginAnswer = (bytes: Buffer): OriginAnswer => {
  const { origin } = answerSchema.parse(parse(bytes));
  return origin ? { kind: "known", origin: decodeOrigin(origin) } : { kind: "not_known" };
};
