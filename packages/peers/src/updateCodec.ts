/** Updates as bytes, and back; what another box sends is checked like any input. */
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
import { count, rowSchema, toWireRow } from "./rowCodec.js";
import type {
  HubNotice,
  RunUpdate,
  SharedLeaving,
  SharedReport,
  SharedUnsettledRows,
} from "./types.js";

/** A placed run on the wire. */
export const runSchema = z.object({
  id: z.string(),
  prompt: z.number().nonnegative(),
  out: z.number().nonnegative(),
  begun: z.boolean(),
  movable: z.boolean(),
});

type WireRun = z.infer<typeof runSchema>;

/** Puts a run into the form that it has on the wire. */
export const toWireRun = (run: PlacedRun): WireRun => ({
  id: run.id,
  prompt: run.promptTokens,
  out: run.expectedOut,
  begun: run.hasBegun,
  movable: run.isMovable,
});

/** Takes a run from the form that it has on the wire. */
export const fromWireRun = ({ id, prompt, out, begun, movable }: WireRun): PlacedRun => ({
  id,
  promptTokens: prompt,
  expectedOut: out,
  hasBegun: begun,
  isMovable: movable,
});

const putSchema = runSchema.extend({ server: z.string() });

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
  runs: z.array(reportedRunSchema),
});

const leavingSchema = z.array(
  z.object({
    server: z.string(),
    /** Known from the entry that is gone only. */
    gone: z.boolean(),
    /** The server's own word; boxes of earlier versions don't tell. */
    own: z.boolean().default(false),
  }),
);

const digestSchema = z.string().regex(REQUEST_DIGEST);

const crashesSchema = z.object({
  ends: z.array(
    z.object({ digest: digestSchema, server: z.string(), age: z.number().nonnegative() }),
  ),
  served: z.array(digestSchema),
});

const limitsSchema = z.object({
  named: z.array(
    z.object({
      server: z.string(),
      perSecond: z.number().positive(),
      knownFor: z.number().nonnegative(),
      age: z.number().nonnegative(),
    }),
  ),
  lifted: z.array(z.object({ server: z.string(), age: z.number().nonnegative() })),
});

const unsettledSchema = z.array(
  z.object({
    table: z.string(),
    era: count,
    kept: z.array(rowSchema),
    withheld: z.array(rowSchema),
  }),
);

const noticeSchema = z.object({
  leaving: leavingSchema.default([]),
  crashes: crashesSchema.optional(),
  limits: limitsSchema.optional(),
  unsettled: unsettledSchema.default([]),
});

const updateSchema = z.object({
  box: z.string().min(1),
  whole: z.boolean(),
  put: z.array(putSchema),
  drop: z.array(z.object({ server: z.string(), id: z.string() })),
  leaving: leavingSchema.default([]),
  reports: z.array(reportSchema).default([]),
  broken: z.array(z.string()).default([]),
  crashes: crashesSchema.optional(),
  limits: limitsSchema.optional(),
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

const decodeReport = (told: z.infer<typeof reportSchema>): SharedReport => ({
  server: told.server as ServerId,
  report: {
    // The id that it is told under names the start.
    startedAt: undefined,
    isLeaving: told.leaving,
    leavesIn: told.leavesIn as Ms | undefined,
    waiting: told.waiting,
    firstWaitingTokens: told.firstWaiting,
    running: told.running,
    memoryUsed: told.used,
    memoryTotal: told.total,
    runs: told.runs.map(([id, tokensInMemory, eventsMade]) => ({
      id,
      tokensInMemory,
      eventsMade,
    })),
  },
});

const encodeLeaving = (
  leaving: readonly SharedLeaving[],
): z.input<typeof leavingSchema> =>
  leaving.map(({ server, basis }) => ({
    server,
    gone: basis === "entry_gone",
    ...(basis === "own_word" && { own: true }),
  }));

const toBasis = (told: Readonly<{ gone: boolean; own: boolean }>): LeavingEvidence => {
  if (told.own) return "own_word";
  return told.gone ? "entry_gone" : "concluded";
};

const decodeLeaving = (
  leaving: z.infer<typeof leavingSchema>,
): readonly SharedLeaving[] =>
  leaving.map((told) => ({ server: told.server as ServerId, basis: toBasis(told) }));

/** News of which there is none takes no bytes. */
const encodeCrashes = (crashes: CrashUpdate) =>
  crashes.ends.length + crashes.served.length > 0 ? { crashes } : {};

const decodeCrashes = (told: z.infer<typeof crashesSchema> | undefined): CrashUpdate =>
  told === undefined
    ? NO_CRASH_UPDATE
    : {
        ends: told.ends.map(({ digest, server, age }) => ({
          digest: digest as RequestDigest,
          server: server as ServerId,
          age: age as Ms,
        })),
        served: told.served.map((digest) => digest as RequestDigest),
      };

const encodeLimits = (limits: LimitUpdate) =>
  limits.named.length + limits.lifted.length > 0 ? { limits } : {};

const decodeLimits = (told: z.infer<typeof limitsSchema> | undefined): LimitUpdate =>
  told === undefined
    ? NO_LIMIT_UPDATE
    : {
        named: told.named.map(({ server, perSecond, knownFor, age }) => ({
          server: server as ServerId,
          perSecond,
          knownFor: knownFor as Ms,
          age: age as Ms,
        })),
        lifted: told.lifted.map(({ server, age }) => ({
          server: server as ServerId,
          age: age as Ms,
        })),
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

/** Encodes a notice. */
export const encodeNotice = ({
  leaving,
  crashes,
  limits,
  unsettled,
}: HubNotice): Buffer =>
  Buffer.from(
    JSON.stringify({
      leaving: encodeLeaving(leaving),
      ...encodeCrashes(crashes),
      ...encodeLimits(limits),
      ...encodeUnsettled(unsettled),
    }),
  );

/** Decodes a notice; throws on bytes that are none, as the transport expects of a decoder. */
export const decodeNotice = (bytes: Buffer): HubNotice => {
  const notice = noticeSchema.parse(JSON.parse(bytes.toString("utf8")));
  return {
    leaving: decodeLeaving(notice.leaving),
    crashes: decodeCrashes(notice.crashes),
    limits: decodeLimits(notice.limits),
    unsettled: notice.unsettled,
  };
};

/** Encodes an update. */
export const encodeUpdate = (update: RunUpdate): Buffer =>
  Buffer.from(
    JSON.stringify({
      box: update.box,
      whole: update.isWhole,
      put: update.put.map(({ server, run }) => ({ server, ...toWireRun(run) })),
      drop: update.drop,
      leaving: encodeLeaving(update.leaving),
      ...(update.broken.length > 0 && { broken: update.broken }),
      ...encodeCrashes(update.crashes),
      ...encodeLimits(update.limits),
      ...(update.reports.length > 0 && { reports: update.reports.map(encodeReport) }),
    }),
  );

/** Decodes an update; throws on bytes that are none, as the transport expects of a decoder. */
export const decodeUpdate = (bytes: Buffer): RunUpdate => {
  const update = updateSchema.parse(JSON.parse(bytes.toString("utf8")));
  return {
    box: update.box as BoxName,
    isWhole: update.whole,
    put: update.put.map(({ server, ...run }) => ({
      server: server as ServerId,
      run: fromWireRun(run),
    })),
    drop: update.drop.map(({ server, id }) => ({ server: server as ServerId, id })),
    leaving: decodeLeaving(update.leaving),
    reports: update.reports.map(decodeReport),
    broken: update.broken.map((server) => server as ServerId),
    crashes: decodeCrashes(update.crashes),
    limits: decodeLimits(update.limits),
  };
};
