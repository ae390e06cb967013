/** Schema of the bundles that operators write. */
import { z } from "zod";
import { MAX_NAME_LENGTH } from "./constants.js";

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:-]*$/;
const ADDRESS_PATTERN = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/;
const KEY_HASH_PATTERN = /^sha256:[0-9a-f]{64}$/;

const name = z
  .string()
  .max(MAX_NAME_LENGTH)
  .regex(NAME_PATTERN, "expected letters, digits and . _ : - only");
const address = z.string().regex(ADDRESS_PATTERN, "expected IP:PORT by IP number");
const positiveInt = z.int().positive();

const tier = z.strictObject({
  name,
  /** Priority; 0 is served first. */
  rank: z.int().min(0).max(100),
  /** Relative share of an engine's memory when tiers compete for it. */
  weight: z.number().positive().default(1),
  /** Maximum wait before the first token. A request that cannot meet it is refused. */
  firstTokenDeadlineMs: positiveInt.default(10_000),
});

const objectives = z.strictObject({
  tailGapWeight: z.number().min(0).default(1),
  stallWeight: z.number().min(0).default(1),
  preemptionWeight: z.number().min(0).default(1),
});

const model = z.strictObject({
  name,
  contextTokens: positiveInt,
  maxOutputTokens: positiveInt,
  adapters: z.array(name).default([]),
});

const route = z.strictObject({
  method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
  /** Path within the service. A trailing `*` matches any suffix. */
  path: z.string().startsWith("/").max(200),
  /** `always` if a call may be sent again after it may have run, else `once`. */
  repeatable: z.enum(["always", "once"]),
});

const service = z.strictObject({ name, routes: z.array(route).min(1) });

const limits = z.strictObject({
  concurrentStreams: positiveInt.default(64),
  queuedRequests: positiveInt.default(256),
});

const workspace = z.strictObject({
  name,
  tier: name,
  keyHashes: z.array(z.string().regex(KEY_HASH_PATTERN, "expected sha256:HEX")).max(16),
  models: z.array(name).default([]),
  adapters: z.array(name).default([]),
  services: z.array(name).default([]),
  share: z.number().positive().default(1),
  limits: limits.prefault({}),
});

const engineServer = z.strictObject({
  kind: z.literal("engine"),
  name,
  address,
  dataHall: name,
  serves: z.array(name).min(1),
  /** Capacity of the engine's cache memory, in tokens. */
  memoryTokens: positiveInt,
  /** Maximum number of streams that the engine runs in one batch. */
  maxRunning: positiveInt.default(64),
  /** Whether the engine checks the fencing tokens of orders. */
  checksOrders: z.boolean().default(false),
});

const serviceServer = z.strictObject({
  kind: z.literal("service"),
  name,
  address,
  dataHall: name,
  serves: z.array(name).min(1),
});

/** Schema of a bundle's content. */
export const bundleSchema = z.strictObject({
  tiers: z.array(tier).min(1),
  objectives: objectives.prefault({}),
  models: z.array(model),
  services: z.array(service).default([]),
  workspaces: z.array(workspace),
  backendServers: z.array(z.discriminatedUnion("kind", [engineServer, serviceServer])),
});
