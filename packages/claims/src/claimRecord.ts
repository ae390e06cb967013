/** Encoding of claims as rows of the table service. */
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

/** The key that a caller sent with a call, unique within its workspace. */
export type OnceKey = Readonly<{ workspace: WorkspaceName; key: string }>;

/** Returns the table and row key under which a key's claim is stored. */
export const toClaimRow = ({ workspace, key }: OnceKey): RowKey => ({
  table: TABLE,
  key: `${workspace}/${key}`,
});

export const encodeClaim = (claim: Claim): string => JSON.stringify(claim);

/**
 * Decodes a claim's row. A row that cannot be decoded counts as a claim with an unknown outcome, so
 * that no call runs because of unreadable data.
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
