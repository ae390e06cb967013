/** JSON schemas of the platform's HTTP interface. */
import { z } from "zod";

/** A row in answers of the table service. */
export const rowSchema = z.object({ value: z.string(), revision: z.int() });

const expectationSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("absent") }),
  z.object({ kind: z.literal("revision"), revision: z.int() }),
]);

/** Body of `POST /table/v1/writes`. */
export const writesSchema = z.object({
  writes: z
    .array(
      z.object({
        at: z.object({ table: z.string().min(1), key: z.string().min(1) }),
        value: z.string(),
        expected: expectationSchema,
      }),
    )
    .min(1)
    .max(500),
});

/** Answer to `POST /table/v1/writes`: one result per write, in the same order. */
export const writeResultsSchema = z.object({
  results: z.array(
    z.discriminatedUnion("kind", [
      z.object({ kind: z.literal("written"), row: rowSchema }),
      z.object({ kind: z.literal("conflict"), current: rowSchema.optional() }),
    ]),
  ),
});

/** Answer to `GET /boxes/v1`. */
export const boxesSchema = z.object({
  servers: z.array(
    z.object({
      name: z.string(),
      kind: z.enum(["box", "backend_server"]),
      address: z.string(),
      dataHall: z.string(),
      state: z.enum(["live", "leaving"]),
    }),
  ),
});
