/** Where the head stands in the table service, and its encoding. */
import { z } from "zod";
import type { BundleHead } from "@stairgauge/bundle";
import type { RowKey } from "@stairgauge/platform";

/** The one row whose compare-and-set rolls a bundle out. */
export const HEAD_ROW: RowKey = { table: "bundle", key: "head" };

const headSchema = z.object({
  version: z.int().positive(),
  digest: z.string().regex(/^[0-9a-f]{64}$/),
  proposer: z.string().min(1),
  approvals: z.array(
    z.object({ operator: z.string().min(1), signature: z.string().min(1) }),
  ),
});

/** Encodes a head for its row. */
export const encodeHead = (head: BundleHead): string => JSON.stringify(head);

/** Decodes a row's value; undefined where it is no head. */
export const decodeHead = (value: string): BundleHead | undefined => {
  try {
    return headSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
};

/** Name of a bundle's content in the object store. */
export const toObjectName = (digest: string): string => `bundle-${digest}`;
