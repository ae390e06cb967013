/** What operators do with bundles: propose, approve, roll out. Each step is safe to repeat. */
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

/** Writes of one step whose answers may be lost or that others may overtake. */
const MAX_TRIES = 5;

/** Versions that the head remembers. */
const MAX_PAST = 50;

/** Why a step failed. */
export type OperatorFailure = Readonly<
  | { kind: "store_unavailable" }
  | { kind: "unknown_digest"; digest: string }
  | { kind: "content_changed"; digest: string }
  | { kind: "own_proposal"; proposer: string }
  | { kind: "unknown_operator"; operator: string }
  | { kind: "too_few_approvals"; valid: number; needed: number }
  /** Another operator's roll-out came first. */
  | { kind: "overtaken"; version: number; by: string; digest: string }
  /** It may or may not have been rolled out: look again. */
  | { kind: "outcome_unknown" }
  | BundleFailure
>;

/** What the steps need. */
export type OperatorDeps = Readonly<{
  platform: Platform;
  clock: Clock;
  random: Random;
  rules: SignOffRules;
}>;

/** An operator who acts; the private key is PEM (PKCS 8, Ed25519). */
export type Operator = Readonly<{ name: string; privateKey: string }>;

/** The steps. */
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

/** Creates the steps. */
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

  const findProposal = async (
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
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const written = await platform.objects.write(toObjectName(digest), content);
      if (written.ok) return true;
      // NOTE: the same content under its own digest may be written again.
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
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const existing = await readRow(toProposalRow(digest), decodeProposal);
      if (existing.err) return existing;
      // The same content was proposed before, perhaps by this very step: that one stands.
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
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const found = await findProposal(digest);
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

  /** Settles a roll-out whose answer was lost, by looking for its attempt in the head. */
  const settleRollOut = async (
    record: HeadRecord,
  ): Promise<Result<HeadRecord, OperatorFailure> | "not_written"> => {
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const head = await readHeadRow();
      if (head.err) continue;
      const current = head.val?.value;
      if (current?.attempt === record.attempt) return Ok(record);
      if ((current?.version ?? 0) < record.version) return "not_written";
      const wasOurs = current?.past.some(
        (one) =>
          one.version === record.version && one.at === record.at && one.by === record.by,
      );
      if (wasOurs) return Ok(record);
      return Err(describeOvertaking(current));
    }
    return Err({ kind: "outcome_unknown" });
  };

  const describeOvertaking = (current: HeadRecord | undefined): OperatorFailure =>
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
    const proposal = await findProposal(digest);
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
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const write = toWrite(HEAD_ROW, encodeHead(record), head.val);
      const written = await platform.table.write(write);
      if (written.ok) return Ok(record);
      const failure = written.val;
      if (failure.kind === "store_unavailable") return Err(UNAVAILABLE);
      if (failure.kind === "conflict") {
        const current = decodeRow(failure.current);
        // NOTE: an earlier try of this very step whose answer was lost.
        return current?.attempt === record.attempt
          ? Ok(record)
          : Err(describeOvertaking(current));
      }
      const settled = await settleRollOut(record);
      if (settled !== "not_written") return settled;
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
      const found = await findProposal(digest);
      return found.err ? found : Ok(found.val.value);
    },
    readBundle,
  };
};
