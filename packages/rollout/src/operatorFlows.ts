/** The operators' steps: propose, approve and roll out a bundle. Each step can be repeated safely. */
import {
  computeDigest,
  countApprovals,
  parseBundle,
  renderCanonical,
  signDigest,
  type Bundle,
  type BundleFailure,
  type BundleHead,
  type SignOffRules,
} from "@stairgauge/bundle";
import { Err, Ok, type Clock, type Random, type Result } from "@stairgauge/common";
import type { Platform, Row, RowKey, RowWrite } from "@stairgauge/stores";
import {
  decodeHeadRecord,
  decodeProposal,
  encodeHead,
  encodeProposal,
  HEAD_ROW,
  toObjectName,
  toProposalRow,
  type HeadRecord,
  type Proposal,
} from "./headRecord.js";

/** Attempts of each write or read of a step. A write can fail by a lost answer or a conflict. */
const MAX_ATTEMPTS = 5;

/** Earlier versions kept in the head's record. */
const MAX_PAST = 50;

/** Why a step failed. */
export type OperatorFailure = Readonly<
  | { kind: "store_unavailable" }
  | { kind: "unknown_digest"; digest: string }
  | { kind: "content_changed"; digest: string }
  | { kind: "own_proposal"; proposer: string }
  | { kind: "unknown_operator"; operator: string }
  | { kind: "too_few_approvals"; valid: number; needed: number }
  /** Another roll-out was written first; the fields describe the head that is now in force. */
  | { kind: "overtaken"; version: number; by: string; digest: string }
  /** The write may or may not have taken effect: read the state again. */
  | { kind: "outcome_unknown" }
  | BundleFailure
>;

export type OperatorDeps = Readonly<{
  platform: Platform;
  clock: Clock;
  random: Random;
  rules: SignOffRules;
}>;

/** An operator who signs an approval. `privateKey` is PEM (PKCS 8, Ed25519). */
export type Operator = Readonly<{ name: string; privateKey: string }>;

/** The operators' steps. Digests are those of a bundle's canonical content. */
export type OperatorFlows = Readonly<{
  propose: (
    bundle: Bundle,
    operator: string,
  ) => Promise<Result<Proposal, OperatorFailure>>;
  approve: (
    digest: string,
    operator: Operator,
  ) => Promise<Result<Proposal, OperatorFailure>>;
  rollOut: (
    digest: string,
    operator: string,
  ) => Promise<Result<HeadRecord, OperatorFailure>>;
  readHead: () => Promise<Result<HeadRecord | undefined, OperatorFailure>>;
  readProposal: (digest: string) => Promise<Result<Proposal, OperatorFailure>>;
  readBundle: (digest: string) => Promise<Result<Bundle, OperatorFailure>>;
}>;

type Found<T> = Readonly<{ value: T; revision: number }>;

const UNAVAILABLE = { kind: "store_unavailable" } as const;

export const createOperatorFlows = (deps: OperatorDeps): OperatorFlows => {
  const { platform, clock, random, rules } = deps;

  const readRow = async <T>(
    at: RowKey,
    decode: (value: string) => T | undefined,
  ): Promise<Result<Found<T> | undefined, OperatorFailure>> => {
    const row = await platform.table.read(at);
    if (row.err) return Err(UNAVAILABLE);
    const value = row.val && decode(row.val.value);
    return Ok(
      row.val && value !== undefined ? { value, revision: row.val.revision } : undefined,
    );
  };

  const toWrite = (
    at: RowKey,
    value: string,
    found: Found<unknown> | undefined,
  ): RowWrite => ({
    at,
    value,
    expected: found ? { kind: "revision", revision: found.revision } : { kind: "absent" },
  });

  const readProposalRow = async (
    digest: string,
  ): Promise<Result<Found<Proposal>, OperatorFailure>> => {
    const found = await readRow(toProposalRow(digest), decodeProposal);
    if (found.err) return found;
    return found.val ? Ok(found.val) : Err({ kind: "unknown_digest", digest });
  };

  const readBundle: OperatorFlows["readBundle"] = async (digest) => {
    const content = await platform.objects.read(toObjectName(digest));
    if (content.err) return Err(UNAVAILABLE);
    if (content.val === undefined) return Err({ kind: "unknown_digest", digest });
    if (computeDigest(content.val) !== digest)
      return Err({ kind: "content_changed", digest });
    return parseBundle(content.val);
  };

  const writeContent = async (digest: string, content: string): Promise<boolean> => {
    for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts += 1) {
      const written = await platform.objects.write(toObjectName(digest), content);
      if (written.ok) return true;
      // NOTE: writing the same content again under its digest is harmless.
      if (written.val.kind === "store_unavailable") return false;
    }
    return false;
  };

  const propose: OperatorFlows["propose"] = async (bundle, operator) => {
    const content = renderCanonical(bundle);
    const digest = computeDigest(content);
    if (!(await writeContent(digest, content))) return Err(UNAVAILABLE);
    const proposal: Proposal = {
      digest,
      proposer: operator,
      at: clock.now(),
      approvals: [],
    };
    for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts += 1) {
      const existing = await readRow(toProposalRow(digest), decodeProposal);
      if (existing.err) return existing;
      // The same content was proposed before, perhaps by an earlier attempt: keep that proposal.
      if (existing.val) return Ok(existing.val.value);
      const write = toWrite(toProposalRow(digest), encodeProposal(proposal), undefined);
      const written = await platform.table.write(write);
      if (written.ok) return Ok(proposal);
      if (written.val.kind === "store_unavailable") return Err(UNAVAILABLE);
    }
    return Err({ kind: "outcome_unknown" });
  };

  const approve: OperatorFlows["approve"] = async (digest, operator) => {
    const content = await readBundle(digest);
    if (content.err) return content;
    const { name, privateKey } = operator;
    const approval = signDigest({ digest, operator: name, privateKey });
    for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts += 1) {
      const found = await readProposalRow(digest);
      if (found.err) return found;
      const { value: proposal } = found.val;
      if (proposal.proposer === name)
        return Err({ kind: "own_proposal", proposer: name });
      const isTrusted = rules.trusted.some((one) => one.operator === name);
      if (!isTrusted) return Err({ kind: "unknown_operator", operator: name });
      if (proposal.approvals.some((one) => one.operator === name)) return Ok(proposal);
      const approved: Proposal = {
        ...proposal,
        approvals: [...proposal.approvals, approval],
      };
      const write = toWrite(toProposalRow(digest), encodeProposal(approved), found.val);
      const written = await platform.table.write(write);
      if (written.ok) return Ok(approved);
      if (written.val.kind === "store_unavailable") return Err(UNAVAILABLE);
    }
    return Err({ kind: "outcome_unknown" });
  };

  const readHeadRow = () => readRow(HEAD_ROW, decodeHeadRecord);

  const buildRecord = (options: {
    readonly proposal: Proposal;
    readonly current: HeadRecord | undefined;
    readonly operator: string;
    readonly attempt: string;
  }): HeadRecord => {
    const { proposal, current, operator, attempt } = options;
    const past = current
      ? [
          {
            version: current.version,
            digest: current.digest,
            by: current.by,
            at: current.at,
          },
        ]
      : [];
    return {
      version: (current?.version ?? 0) + 1,
      digest: proposal.digest,
      proposer: proposal.proposer,
      approvals: proposal.approvals,
      by: operator,
      at: clock.now(),
      attempt,
      past: [...past, ...(current?.past ?? [])].slice(0, MAX_PAST),
    };
  };

  /** Finds out whether a roll-out whose answer was lost was written, by searching the head for it. */
  const resolveRollOut = async (
    record: HeadRecord,
  ): Promise<Result<HeadRecord, OperatorFailure> | "not_written"> => {
    for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts += 1) {
      const head = await readHeadRow();
      if (head.err) continue;
      const current = head.val?.value;
      if (current?.attempt === record.attempt) return Ok(record);
      if ((current?.version ?? 0) < record.version) return "not_written";
      const wasWritten = current?.past.some(
        (one) =>
          one.version === record.version && one.at === record.at && one.by === record.by,
      );
      if (wasWritten) return Ok(record);
      return Err(describeConflict(current));
    }
    return Err({ kind: "outcome_unknown" });
  };

  const describeConflict = (current: HeadRecord | undefined): OperatorFailure =>
    current
      ? {
          kind: "overtaken",
          version: current.version,
          by: current.by,
          digest: current.digest,
        }
      : { kind: "outcome_unknown" };

  const decodeRow = (row: Row | undefined) => row && decodeHeadRecord(row.value);

  const checkApprovals = (proposal: Proposal): OperatorFailure | undefined => {
    const head: BundleHead = { version: 1, ...proposal };
    const valid = countApprovals(head, rules.trusted);
    const needed = rules.approvalsNeeded;
    return valid < needed ? { kind: "too_few_approvals", valid, needed } : undefined;
  };

  const rollOut: OperatorFlows["rollOut"] = async (digest, operator) => {
    const content = await readBundle(digest);
    if (content.err) return content;
    const proposal = await readProposalRow(digest);
    if (proposal.err) return proposal;
    const tooFew = checkApprovals(proposal.val.value);
    if (tooFew) return Err(tooFew);
    const head = await readHeadRow();
    if (head.err) return head;
    const record = buildRecord({
      proposal: proposal.val.value,
      current: head.val?.value,
      operator,
      attempt: random.nextId(),
    });
    for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts += 1) {
      const write = toWrite(HEAD_ROW, encodeHead(record), head.val);
      const written = await platform.table.write(write);
      if (written.ok) return Ok(record);
      const failure = written.val;
      if (failure.kind === "store_unavailable") return Err(UNAVAILABLE);
      if (failure.kind === "conflict") {
        const current = decodeRow(failure.current);
        // NOTE: the row may hold an earlier attempt of this step whose answer was lost.
        return current?.attempt === record.attempt
          ? Ok(record)
          : Err(describeConflict(current));
      }
      const resolved = await resolveRollOut(record);
      if (resolved !== "not_written") return resolved;
    }
    return Err({ kind: "outcome_unknown" });
  };

  return {
    propose,
    approve,
    rollOut,
    readHead: async () => {
      const head = await readHeadRow();
      return head.err ? head : Ok(head.val?.value);
    },
    readProposal: async (digest) => {
      const found = await readProposalRow(digest);
      return found.err ? found : Ok(found.val.value);
    },
    readBundle,
  };
};
