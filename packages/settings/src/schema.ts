/** Schemas of the settings of a box and of the command line. */
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

/** Schema of a box's settings file. */
export const settingsSchema = z.strictObject({
  box: z.string().min(1),
  dataHall: z.string().min(1),
  /** Address that callers connect to. */
  listen: address,
  /** Address of the health checks and metrics, for operators. */
  operatorsListen: address,
  platform: z.strictObject({ table: address, objects: address, boxes: address }),
  signOff: z.strictObject({
    approvalsNeeded: z.int().min(1),
    trustedOperators: z.array(trustedOperator).min(1),
  }),
  /** The first key signs, all keys verify. To rotate, add the new key second, move it to the front, then remove the old one. */
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
  /** Calls per second to the table service that write claims; each call carries up to 200 claims. */
  claimCallsPerSecond: z.number().positive().default(20),
  bundlePollMs: positiveMs.default(1_000),
  serverListPollMs: positiveMs.default(1_000),
  /** How long a disconnected caller may take to resume before its generation is cancelled. */
  resumeGraceMs: positiveMs.default(20_000),
  /** How long a planned stop waits for running answers; the rest is then resumed on other boxes. */
  drainGraceMs: positiveMs.default(30_000),
});

/** Schema of the command line's settings. */
export const cliSettingsSchema = settingsSchema
  .pick({ platform: true, signOff: true })
  .extend({
    /** Addresses of the boxes' operator ports (`operatorsListen`). */
    boxes: z.array(address).default([]),
  });
