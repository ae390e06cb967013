/** Codec for rows and revisions of the store in messages between boxes. Messages are validated like any input. */
import { gunzipSync, gzipSync } from "node:zlib";
import {
  makeRevision,
  UNKNOWN_ERA,
  type StoredRow,
  type StoreRevision,
} from "@stairgauge/storefeed";
import { z } from "zod";

/** A number that is not negative. */
export const count = z.number().nonnegative();

/** The fields of a revision in a message; boxes of earlier releases send no era. */
export const revisionFields = { revision: count, era: count.default(UNKNOWN_ERA) };

type WireRevision = Readonly<{ revision: number; era: number }>;

/** Converts a revision to its form in a message. */
export const toWireRevision = ({ era, version }: StoreRevision): WireRevision => ({
  revision: version,
  era,
});

/** Converts a revision from its form in a message. */
export const fromWireRevision = ({ revision, era }: WireRevision): StoreRevision =>
  makeRevision(era, revision);

/** Values from this size on are compressed, as a box sends a large configuration to dozens of others over its link. */
const MIN_COMPRESSED_BYTES = 4 * 1024;

/** Limit of a decompressed value, above any row of the store; a larger value is rejected. */
const MAX_VALUE_BYTES = 16 * 1024 * 1024;

/** Compressed values by original: each is compressed once, however many boxes ask for it. */
const compressed = new WeakMap<Buffer, string>();

const encodeCompressed = (value: Buffer): string => {
  const cached = compressed.get(value);
  if (cached !== undefined) return cached;
  const text = gzipSync(value).toString("base64");
  compressed.set(value, text);
  return text;
};

const fromBase64 = (text: string): Buffer => Buffer.from(text, "base64");

/** A row in a message. */
export const rowSchema = z.union([
  z
    .object({
      key: z.string(),
      value: z.base64().transform(fromBase64),
      ...revisionFields,
    })
    .transform(({ key, value, ...wire }) => ({
      key,
      value,
      revision: fromWireRevision(wire),
    })),
  z
    .object({ key: z.string(), zipped: z.base64(), ...revisionFields })
    .transform(({ key, zipped, ...wire }) => ({
      key,
      revision: fromWireRevision(wire),
      value: gunzipSync(fromBase64(zipped), { maxOutputLength: MAX_VALUE_BYTES }),
    })),
]);

const keySchema = z.object({ key: z.string() });
const versionSchema = z.object({ revision: count, era: revisionFields.era });
const EMPTY = Buffer.of();

/**
 * Decodes a row of a table in a message. A value that can't be read becomes an empty one, which is unreadable to all who use the row, and a
 * version that can't be read that of the whole message. Undefined if the key can't be read.
 */
export const decodeTableRow = (
  row: unknown,
  message: StoreRevision,
  onOddPart: () => void,
): StoredRow | undefined => {
  try {
    return rowSchema.parse(row);
  } catch {
    onOddPart();
    const keyed = keySchema.safeParse(row);
    if (!keyed.success) return undefined;
    const version = versionSchema.safeParse(row);
    const revision = version.success ? fromWireRevision(version.data) : message;
    return { key: keyed.data.key, value: EMPTY, revision };
  }
};

/** Converts a row to its form in a message. */
export const toWireRow = ({ key, value, revision }: StoredRow) => ({
  key,
  ...toWireRevision(revision),
  ...(value.length < MIN_COMPRESSED_BYTES
    ? { value: value.toString("base64") }
    : { zipped: encodeCompressed(value) }),
});
