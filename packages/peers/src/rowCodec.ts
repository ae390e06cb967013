/** Rows and revisions of the store as they go between boxes; what another box sends is checked like any input. */
import { gunzipSync, gzipSync } from "node:zlib";
import {
  makeRevision,
  UNKNOWN_ERA,
  type StoredRow,
  type StoreRevision,
} from "@stairgauge/storefeed";
import { z } from "zod";

/** A number that counts something. */
export const count = z.number().nonnegative();

/** Boxes of earlier releases tell no era. */
export const revisionFields = { revision: count, era: count.default(UNKNOWN_ERA) };

type WireRevision = Readonly<{ revision: number; era: number }>;

/** Puts a revision into the form that it has on the wire. */
export const toWireRevision = ({ era, version }: StoreRevision): WireRevision => ({
  revision: version,
  era,
});

/** Takes a revision from the form that it has on the wire. */
export const fromWireRevision = ({ revision, era }: WireRevision): StoreRevision =>
  makeRevision(era, revision);

/** A value from this size on goes compressed: a box hands a large configuration on to dozens of others over its link. */
const COMPRESSED_FROM_BYTES = 4 * 1024;

/** More than any row of the store holds; what claims to be larger is refused. */
const MAX_VALUE_BYTES = 16 * 1024 * 1024;

/** Each value is compressed once, however many boxes ask for it. */
const compressed = new WeakMap<Buffer, string>();

const encodeCompressed = (value: Buffer): string => {
  const known = compressed.get(value);
  if (known !== undefined) return known;
  const text = gzipSync(value).toString("base64");
  compressed.set(value, text);
  return text;
};

const fromBase64 = (text: string): Buffer => Buffer.from(text, "base64");

/** A row on the wire. */
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

/** Puts a row into the form that it has on the wire. */
export const toWireRow = ({ key, value, revision }: StoredRow) => ({
  key,
  ...toWireRevision(revision),
  ...(value.length < COMPRESSED_FROM_BYTES
    ? { value: value.toString("base64") }
    : { zipped: encodeCompressed(value) }),
});
