/** Decodes the parts of a message one by one, so that one that can't be read costs only itself, as one of a box of another release. */
import type { z } from "zod";

/** Called for each part of a message that can't be read, with the name of the field that holds it. */
export type ReportOddPart = (field: string) => void;

const decodePart = <Part>(schema: z.ZodType<Part>, part: unknown): Part | undefined => {
  try {
    return schema.parse(part);
  } catch {
    return undefined;
  }
};

/** Returns a decoder of a field's parts, which leaves out those that can't be read. */
export const createPartsDecoder =
  (onOddPart: ReportOddPart) =>
  <Part>(
    field: string,
    schema: z.ZodType<Part>,
    parts: readonly unknown[] | undefined,
  ): readonly Part[] =>
    (parts ?? []).flatMap((part) => {
      const decoded = decodePart(schema, part);
      if (decoded === undefined) onOddPart(field);
      return decoded === undefined ? [] : [decoded];
    });

/** Decoder of the parts of one message. */
export type DecodeParts = ReturnType<typeof createPartsDecoder>;
