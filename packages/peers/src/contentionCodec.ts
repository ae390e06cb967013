/**
 * Codec of the signs of contended services in updates and notices. A sign that can't be read is left
 * out and counted, as a later release may send others.
 */
import {
  MAX_FULL_PER_SIGN,
  MAX_SERVICES,
  type ContentionSign,
  type ContentionUpdate,
} from "@stairgauge/capacity";
import type { Ms, ServiceName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { z } from "zod";

const signSchema = z.object({
  service: z.string().min(1),
  age: z.number().nonnegative(),
  full: z.array(z.string()).default([]),
  brittle: z.array(z.string()).optional(),
  isOfConnections: z.literal(true).optional(),
});

/** The field of a message, which earlier releases don't send. */
export const contendedSchema = z.unknown().optional();

const toServers = (servers: readonly string[]): readonly ServerId[] =>
  servers.slice(0, MAX_FULL_PER_SIGN).map((server) => server as ServerId);

const toSign = ({
  service,
  age,
  full,
  brittle,
  isOfConnections,
}: z.infer<typeof signSchema>): ContentionSign => ({
  service: service as ServiceName,
  age: age as Ms,
  full: toServers(full),
  ...(brittle && { brittle: toServers(brittle) }),
  ...(isOfConnections && { isOfConnections }),
});

/** Encodes the signs; left out of the message when there are none. */
export const encodeContended = (update: ContentionUpdate | undefined) =>
  update !== undefined && update.signs.length > 0
    ? { contended: update.signs.slice(0, MAX_SERVICES) }
    : {};

/** Decodes the signs of a message. */
export const decodeContended = (
  message: unknown,
): Readonly<{ contended?: ContentionUpdate }> => {
  if (message === undefined) return {};
  if (!Array.isArray(message)) return { contended: { signs: [], unknownParts: 1 } };
  const read = message
    .slice(0, MAX_SERVICES)
    .map((part: unknown) => signSchema.safeParse(part));
  const signs = read.flatMap((one) => (one.success ? [toSign(one.data)] : []));
  return { contended: { signs, unknownParts: message.length - signs.length } };
};
