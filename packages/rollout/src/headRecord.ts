/** Rows of the head and of proposals in the table service, and their encoding. */
import { z } from "zod";
import type { Approval, BundleHead } from "@stairgauge/bundle";
import type { RowKey } from "@stairgauge/stores";

/** The head's row. A conditional write to it rolls out a bundle. */
export const HEAD_ROW: RowKey = { table: "bundle", key: "head" };

const approvalSchema = z.object({
  operator: z.string().min(1),
  signature: z.string().min(1),
});

const digestSchema = z.string().regex(/^[0-9a-f]{64}$/);

const pastSchema = z.object({
  version: z.int().positive(),
  digest: digestSchema,
  by: z.string(),
  at: z.number(),
});

const headSchema = z.object({
  version: z.int().positive(),
  digest: digestSchema,
  proposer: z.string().min(1),
  approvals: z.array(approvalSchema),
});

const recordSchema = headSchema.extend({
  /** Operator who rolled out this version. */
  by: z.string().default("unknown"),
  /** Wall time of the roll-out, milliseconds since 1970. */
  at: z.number().default(0),
  /**
   * Random id of the roll-out. After a lost answer it shows whether this roll-out or another one wrote
   * the row.
   */
  attempt: z.string().default(""),
  /** Earlier versions, newest first. */
  past: z.array(pastSchema).default([]),
});

const proposalSchema = z.object({
  digest: digestSchema,
  proposer: z.string().min(1),
  at: z.number(),
  approvals: z.array(approvalSchema),
});

/** An earlier version of the head. */
export type PastVersion = Readonly<z.infer<typeof pastSchema>>;

/** Value of the head's row: the head, its roll-out and the earlier versions. */
export type HeadRecord = BundleHead &
  Readonly<{ by: string; at: number; attempt: string; past: readonly PastVersion[] }>;

/** A proposed bundle and its approvals so far. `at` is in milliseconds since 1970. */
export type Proposal = Readonly<{
  digest: string;
  proposer: string;
  at: number;
  approvals: readonly Approval[];
}>;

const decodeAs = <T>(schema: z.ZodType<T>, value: string): T | undefined => {
  try {
    return schema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
};

export const encodeHead = (head: BundleHead | HeadRecord): string => JSON.stringify(head);

/** Decodes the head from its row's value; undefined if it is malformed. */
export const decodeHead = (value: string): BundleHead | undefined =>
  decodeAs(headSchema, value);

/** Decodes the whole value of the head's row; undefined if it is malformed. */
export const decodeHeadRecord = (value: string): HeadRecord | undefined =>
  decodeAs(recordSchema, value);

/** Returns the table and row key of a proposal. */
export const toProposalRow = (digest: string): RowKey => ({
  table: "proposals",
  key: digest,
});

export const encodeProposal = (proposal: Proposal): string => JSON.stringify(proposal);

/** Decodes a proposal from its row's value; undefined if it is malformed. */
export const decodeProposal = (value: string): Proposal | undefined =>
  decodeAs(proposalSchema, value);

/** Returns the name of a bundle's content in the object store. */
export const toObjectName = (digest: string): string => `bundle-${digest}`;
