/** Where the head stands in the table service, and its encoding. */
import { z } from "zod";
import type { Approval, BundleHead } from "@stairgauge/bundle";
import type { RowKey } from "@stairgauge/stores";

/** The one row whose compare-and-set rolls a bundle out. */
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
  /** Operator who rolled it out. */
  by: z.string().default("unknown"),
  /** Wall time of the roll-out, milliseconds since 1970. */
  at: z.number().default(0),
  /** Tells a lost answer of one's own roll-out from another's. */
  attempt: z.string().default(""),
  /** Versions before it, newest first. */
  past: z.array(pastSchema).default([]),
});

const proposalSchema = z.object({
  digest: digestSchema,
  proposer: z.string().min(1),
  at: z.number(),
  approvals: z.array(approvalSchema),
});

/** A version as the history keeps it. */
export type PastVersion = Readonly<z.infer<typeof pastSchema>>;

/** The head's row: the head itself, and who rolled it out. */
export type HeadRecord = BundleHead &
  Readonly<{ by: string; at: number; attempt: string; past: readonly PastVersion[] }>;

/** A proposed bundle and the approvals that it has so far. */
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

/** Encodes a head for its row. */
export const encodeHead = (head: BundleHead | HeadRecord): string => JSON.stringify(head);

/** Decodes a row's value; undefined where it is no head. */
export const decodeHead = (value: string): BundleHead | undefined =>
  decodeAs(headSchema, value);

/** Decodes the whole of the head's row. */
export const decodeHeadRecord = (value: string): HeadRecord | undefined =>
  decodeAs(recordSchema, value);

/** Place of a proposal. */
export const toProposalRow = (digest: string): RowKey => ({
  table: "proposals",
  key: digest,
});

/** Encodes a proposal for its row. */
export const encodeProposal = (proposal: Proposal): string => JSON.stringify(proposal);

/** Decodes a proposal's row. */
export const decodeProposal = (value: string): Proposal | undefined =>
  decodeAs(proposalSchema, value);

/** Name of a bundle's content in the object store. */
export const toObjectName = (digest: string): string => `bundle-${digest}`;
