/** The schema of a box's settings. */
import { z } from "zod";

const ADDRESS_PATTERN = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/;
const MIN_SECRET_LENGTH = 32;
const KEY_ID_PATTERN = /^[A-Za-z0-9-]{1,20}$/;

const address = z.string().regex(ADDRESS_PATTERN, "expected IP:PORT by IP number");
const positiveMs = z.int().positive();

const resumeKey = z.strictObject({
  id: z.string().regex(KEY_ID_PATTERN, "expected up to 20 letters, digits and -"),
  secret: z
    .string()
    .min(MIN_SECRET_LENGTH, `expected at least ${MIN_SECRET_LENGTH} characters`),
});

const trustedOperator = z.strictObject({
  operator: z.string().min(1),
  publicKey: z
    .string()
    .includes("BEGIN PUBLIC KEY", { error: "expected an Ed25519 key in PEM" }),
});

/** Schema of the settings file. */
export const settingsSchema = z.strictObject({
  box: z.string().min(1),
  dataHall: z.string().min(1),
  /** Where callers connect. */
  listen: address,
  /** Where operators look: health and metrics. */
  operatorsListen: address,
  platform: z.strictObject({ table: address, objects: address, boxes: address }),
  signOff: z.strictObject({
    approvalsNeeded: z.int().min(1),
    trustedOperators: z.array(trustedOperator).min(1),
  }),
  /** The first signs, all verify: put a new key second, then first, then remove the old one. */
  resumeKeys: z.array(resumeKey).min(1).max(8),
  tls: z
    .strictObject({ certFile: z.string().min(1), keyFile: z.string().min(1) })
    .optional(),
  log: z
    .strictObject({
      level: z.enum(["debug", "info", "warn", "error", "silent"]).default("info"),
      format: z.enum(["json", "pretty"]).default("json"),
    })
    .prefault({}),
  limits: z
    .strictObject({
      bodyBytes: z
        .int()
        .positive()
        .default(4 * 1024 * 1024),
      bodyIdleMs: positiveMs.default(10_000),
      bodyTotalMs: positiveMs.default(30_000),
    })
    .prefault({}),
  /** Calls a second to the table service for claims; each carries up to 200 of them. */
  claimCallsPerSecond: z.number().positive().default(20),
  bundlePollMs: positiveMs.default(1_000),
  serverListPollMs: positiveMs.default(1_000),
  /** How long a caller may stay away before its generation is cancelled. */
  resumeGraceMs: positiveMs.default(20_000),
  /** How long a planned stop waits for running answers before it sends them elsewhere. */
  drainGraceMs: positiveMs.default(30_000),
});

/** Schema of the command line's settings. */
export const cliSettingsSchema = settingsSchema
  .pick({ platform: true, signOff: true })
  .extend({
    /** Operators' ports of the boxes. */
    boxes: z.array(address).default([]),
  });
