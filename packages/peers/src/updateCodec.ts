/** Codec for updates and notices between boxes. Messages are validated like any input. */
import type { BoxName, Ms } from "@stairgauge/common";
import {
  NO_CRASH_UPDATE,
  REQUEST_DIGEST,
  type CrashUpdate,
  type RequestDigest,
} from "@stairgauge/crashes";
import type { LeavingEvidence, ServerId } from "@stairgauge/directory";
import { NO_LIMIT_UPDATE, type LimitUpdate } from "@stairgauge/limits";
import type { PlacedRun } from "@stairgauge/placement";
import { z } from "zod";
import { contendedSchema, decodeContended, encodeContended } from "./contentionCodec.js";
import {
  createPartsDecoder,
  type DecodeParts,
  type ReportOddPart,
} from "./decodeParts.js";
import { decodePaces, encodePaces, paceSchema, pacesSchema } from "./paceCodec.js";
import {
  decodeOrigins,
  encodeOrigins,
  originSchema,
  originsSchema,
} from "./originCodec.js";
import { count, rowSchema, toWireRow } from "./rowCodec.js";
import type {
  HubNotice,
  RunUpdate,
  SharedLeaving,
  SharedReport,
  SharedUnsettledRows,
} from "./types.js";

/** A placed run in a message. */
export const runSchema = z.object({
  id: z.string(),
  prompt: z.number().nonnegative(),
  out: z.number().nonnegative(),
  begun: z.boolean(),
  movable: z.boolean(),
});

type WireRun = z.infer<typeof runSchema>;

/** Converts a run to its form in a message. */
export const toWireRun = (run: PlacedRun): WireRun => ({
  id: run.id,
  prompt: run.promptTokens,
  out: run.expectedOut,
  begun: run.hasBegun,
  movable: run.isMovable,
});

/** Converts a run from its form in a message. */
export const fromWireRun = ({ id, prompt, out, begun, movable }: WireRun): PlacedRun => ({
  id,
  promptTokens: prompt,
  expectedOut: out,
  hasBegun: begun,
  isMovable: movable,
});

const putSchema = runSchema.extend({ server: z.string() });
const dropSchema = z.object({ server: z.string(), id: z.string() });
const serverSchema = z.string();

const reportedRunSchema = z.tuple([z.string(), z.number(), z.number()]);

const reportSchema = z.object({
  server: z.string(),
  leaving: z.boolean(),
  leavesIn: z.number().optional(),
  waiting: z.number(),
  firstWaiting: z.number(),
  running: z.number(),
  used: z.number(),
  total: z.number(),
  runs: z.array(z.unknown()),
});

const leavingSchema = z.object({
  server: z.string(),
  /** The only evidence is that the server's entry is gone. */
  gone: z.boolean(),
  /** The server announced it itself; boxes of earlier releases omit this. */
  own: z.boolean().default(false),
});

const digestSchema = z.string().regex(REQUEST_DIGEST);

/** Longest id of a part that is accepted; ids have a dozen characters. */
const MAX_PART_LENGTH = 200;

const endSchema = z.object({
  digest: digestSchema,
  server: z.string(),
  age: z.number().nonnegative(),
  /** Set for a part of a prompt; boxes of earlier releases take it for a request. */
  part: z.string().max(MAX_PART_LENGTH).optional(),
});
const limitSchema = z.object({
  server: z.string(),
  perSecond: z.number().positive(),
  knownFor: z.number().nonnegative(),
  age: z.number().nonnegative(),
});
const liftedSchema = z.object({ server: z.string(), age: z.number().nonnegative() });

/** The parts of a field, which are decoded one by one. */
const parts = z.array(z.unknown());
const optionalParts = parts.default([]);

const crashesSchema = z.object({ ends: parts, served: parts });
const limitsSchema = z.object({ named: parts, lifted: parts });

const unsettledSchema = z.object({
  table: z.string(),
  era: count,
  kept: parts,
  withheld: parts,
});

const noticeSchema = z.object({
  leaving: optionalParts,
  crashes: crashesSchema.optional(),
  limits: limitsSchema.optional(),
  unsettled: optionalParts,
  contended: contendedSchema,
  paces: pacesSchema,
});

const updateSchema = z.object({
  box: z.string().min(1),
  whole: z.boolean(),
  put: parts,
  drop: parts,
  leaving: optionalParts,
  reports: optionalParts,
  broken: optionalParts,
  crashes: crashesSchema.optional(),
  limits: limitsSchema.optional(),
  contended: contendedSchema,
  paces: pacesSchema,
  origins: originsSchema,
});

const encodeReport = ({
  server,
  report,
}: SharedReport): z.infer<typeof reportSchema> => ({
  server,
  leaving: report.isLeaving,
  ...(report.leavesIn !== undefined && { leavesIn: report.leavesIn }),
  waiting: report.waiting,
  firstWaiting: report.firstWaitingTokens,
  running: report.running,
  used: report.memoryUsed,
  total: report.memoryTotal,
  runs: report.runs.map((run) => [run.id, run.tokensInMemory, run.eventsMade]),
});

const decodeReport = (
  message: z.infer<typeof reportSchema>,
  decodeParts: DecodeParts,
): SharedReport => ({
  server: message.server as ServerId,
  report: {
    // The server's id contains the start time.
    startedAt: undefined,
    isLeaving: message.leaving,
    leavesIn: message.leavesIn as Ms | undefined,
    waiting: message.waiting,
    firstWaitingTokens: message.firstWaiting,
    running: message.running,
    memoryUsed: message.used,
    memoryTotal: message.total,
    runs: decodeParts("runs", reportedRunSchema, message.runs).map(
      ([id, tokensInMemory, eventsMade]) => ({ id, tokensInMemory, eventsMade }),
    ),
  },
});

const encodeLeaving = (
  leaving: readonly SharedLeaving[],
): readonly z.input<typeof leavingSchema>[] =>
  leaving.map(({ server, evidence }) => ({
    server,
    gone: evidence === "entry_gone",
    ...(evidence === "own_word" && { own: true }),
  }));

const toBasis = (message: Readonly<{ gone: boolean; own: boolean }>): LeavingEvidence => {
  if (message.own) return "own_word";
  return message.gone ? "entry_gone" : "concluded";
};

const decodeLeaving = (
  leaving: readonly unknown[],
  decodeParts: DecodeParts,
): readonly SharedLeaving[] =>
  decodeParts("leaving", leavingSchema, leaving).map((message) => ({
    server: message.server as ServerId,
    evidence: toBasis(message),
  }));

/** Left out of the message when empty. */
const encodeCrashes = (crashes: CrashUpdate) =>
  crashes.ends.length + crashes.served.length > 0 ? { crashes } : {};

const decodeCrashes = (
  message: z.infer<typeof crashesSchema> | undefined,
  decodeParts: DecodeParts,
): CrashUpdate =>
  message === undefined
    ? NO_CRASH_UPDATE
    : {
        ends: decodeParts("ends", endSchema, message.ends).map(
          ({ digest, server, age, part }) => ({
            digest: digest as RequestDigest,
            server: server as ServerId,
            age: age as Ms,
            ...(part !== undefined && { part }),
          }),
        ),
        served: decodeParts("served", digestSchema, message.served).map(
          (digest) => digest as RequestDigest,
        ),
      };

const encodeLimits = (limits: LimitUpdate) =>
  limits.named.length + limits.lifted.length > 0 ? { limits } : {};

const decodeLimits = (
  message: z.infer<typeof limitsSchema> | undefined,
  decodeParts: DecodeParts,
): LimitUpdate =>
  message === undefined
    ? NO_LIMIT_UPDATE
    : {
        named: decodeParts("named", limitSchema, message.named).map(
          ({ server, perSecond, knownFor, age }) => ({
            server: server as ServerId,
            perSecond,
            knownFor: knownFor as Ms,
            age: age as Ms,
          }),
        ),
        lifted: decodeParts("lifted", liftedSchema, message.lifted).map(
          ({ server, age }) => ({
            server: server as ServerId,
            age: age as Ms,
          }),
        ),
      };

const encodeUnsettled = (unsettled: readonly SharedUnsettledRows[]) =>
  unsettled.length === 0
    ? {}
    : {
        unsettled: unsettled.map(({ table, era, kept, withheld }) => ({
          table,
          era,
          kept: kept.map(toWireRow),
          withheld: withheld.map(toWireRow),
        })),
      };

/** A row that can't be read is no reason to deviate from the store. */
const decodeUnsettled = (
  unsettled: readonly unknown[],
  decodeParts: DecodeParts,
): readonly SharedUnsettledRows[] =>
  decodeParts("unsettled", unsettledSchema, unsettled).map(
    ({ table, era, kept, withheld }) => ({
      table,
      era,
      kept: decodeParts("kept", rowSchema, kept),
      withheld: decodeParts("withheld", rowSchema, withheld),
    }),
  );

/** Encodes a notice. */
export const encodeNotice = ({
  leaving,
  crashes,
  limits,
  unsettled,
  contended,
  paces,
}: HubNotice): Buffer =>
  Buffer.from(
    JSON.stringify({
      leaving: encodeLeaving(leaving),
      ...encodeCrashes(crashes),
      ...encodeLimits(limits),
      ...encodeUnsettled(unsettled),
      ...encodeContended(contended),
      ...encodePaces(paces),
    }),
  );

/** Decodes a notice; throws on invalid bytes, as gRPC expects of a decoder. A part that can't be read is left out. */
export const decodeNotice = (
  bytes: Buffer,
  onOddPart: ReportOddPart = () => undefined,
): HubNotice => {
  const decodeParts = createPartsDecoder(onOddPart);
  const notice = noticeSchema.parse(JSON.parse(bytes.toString("utf8")));
  return {
    leaving: decodeLeaving(notice.leaving, decodeParts),
    crashes: decodeCrashes(notice.crashes, decodeParts),
    limits: decodeLimits(notice.limits, decodeParts),
    unsettled: decodeUnsettled(notice.unsettled, decodeParts),
    ...decodeContended(notice.contended),
    ...decodePaces(decodeParts("paces", paceSchema, notice.paces)),
  };
};

/** Encodes an update. */
export const encodeUpdate = (update: RunUpdate): Buffer =>
  Buffer.from(
    JSON.stringify({
      box: update.box,
      whole: update.isWhole,
      put: update.put.map(({ server, run }) => ({
        server,
        ...toWireRun(run),
      })),
      drop: update.drop,
      leaving: encodeLeaving(update.leaving),
      ...(update.broken.length > 0 && { broken: update.broken }),
      ...encodeCrashes(update.crashes),
      ...encodeLimits(update.limits),
      ...encodeContended(update.contended),
      ...encodePaces(update.paces),
      ...encodeOrigins(update.origins),
      ...(update.reports.length > 0 && { reports: update.reports.map(encodeReport) }),
    }),
  );

/** Decodes an update; throws on invalid bytes, as gRPC expects of a decoder. A part that can't be read is left out. */
export const decodeUpdate = (
  bytes: Buffer,
  onOddPart: ReportOddPart = () => undefined,
): RunUpdate => {
  const decodeParts = createPartsDecoder(onOddPart);
  const update = updateSchema.parse(JSON.parse(bytes.toString("utf8")));
  return {
    box: update.box as BoxName,
    isWhole: update.whole,
    put: decodeParts("put", putSchema, update.put).map(({ server, ...run }) => ({
      server: server as ServerId,
      run: fromWireRun(run),
    })),
    drop: decodeParts("drop", dropSchema, update.drop).map(({ server, id }) => ({
      server: server as ServerId,
      id,
    })),
    leaving: decodeLeaving(update.leaving, decodeParts),
    reports: decodeParts("reports", reportSchema, update.reports).map((report) =>
      decodeReport(report, decodeParts),
    ),
    broken: decodeParts("broken", serverSchema, update.broken).map(
      (server) => server as ServerId,
    ),
    crashes: decodeCrashes(update.crashes, decodeParts),
    limits: decodeLimits(update.limits, decodeParts),
    ...decodeContended(update.contended),
    ...decodePaces(decodeParts("paces", paceSchema, update.paces)),
    ...decodeOrigins(
      update.origins && decodeParts("origins", originSchema, update.origins),
    ),
  };
};
