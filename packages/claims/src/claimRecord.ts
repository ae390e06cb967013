/** Claims as rows of the table service. */
import { z } from "zod";
import type { WorkspaceName } from "@stairgauge/common";
import type { Claim, FoundClaim } from "@stairgauge/outcomes";
import type { Row, RowKey } from "@stairgauge/stores";

const TABLE = "claims";

const answerSchema = z.object({
  status: z.int(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  body: z.string(),
});

const claimSchema = z.object({
  attempt: z.string(),
  contentHash: z.string(),
  expiresAt: z.number(),
  state: z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("claimed") }),
    z.object({
      kind: z.literal("ran"),
      answer: answerSchema.optional().transform((answer) => answer),
    }),
    z.object({ kind: z.literal("not_run") }),
    z.object({ kind: z.literal("unknown") }),
  ]),
});

/** A caller's key, within its workspace. */
export type OnceKey = Readonly<{ workspace: WorkspaceName; key: string }>;

/** Place of a key's claim. */
export const toClaimRow = ({ workspace, key }: OnceKey): RowKey => ({
  table: TABLE,
  key: `${workspace}/${key}`,
});

/** Encodes a claim for its row. */
export const encodeClaim = (claim: Claim): string => JSON.stringify(claim);

/**
 * Decodes a claim's row. A row that is no claim counts as one that was taken and never ended, so
 * that nothing runs on the strength of what cannot be read.
 */
export const decodeClaim = (row: Row): FoundClaim => {
  const { revision } = row;
  try {
    const claim = claimSchema.parse(JSON.parse(row.value)) as Claim;
    return { claim, revision };
  } catch {
    const claim: Claim = {
      attempt: "",
      contentHash: "",
      expiresAt: 0,
      state: { kind: "unknown" },
    };
    return { claim, revision };
  }
};
