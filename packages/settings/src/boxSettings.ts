/** Settings of a box on a platform that keeps configuration and server list in its store. */
import { z } from "zod";

const ADDRESS_PATTERN = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/;

const address = z.string().regex(ADDRESS_PATTERN, "expected IP:PORT by IP number");
const ms = z.number().positive();
const capacity = z
  .number()
  .positive()
  .nullish()
  .transform((given) => given ?? 1);

/** Schema of the file; every figure that is not given has a default with its reason beside it. */
export const boxSettingsSchema = z.strictObject({
  box: z.string().min(1),
  dataHall: z.string().min(1),
  /** The region of each data hall; routes and workspaces may be bound to some. */
  regions: z
    .record(z.string(), z.string())
    .nullish()
    .transform((given) => given ?? {}),
  listen: z.strictObject({
    clients: address,
    ready: address,
    metrics: address,
    peers: address,
  }),
  /** Boxes to ask at a start while the store is away; they may be stale or down. */
  seeds: z
    .array(address)
    .nullish()
    .transform((given) => given ?? []),
  store: z.strictObject({
    address,
    /** Boxes that hold calls to the store and hand on what they hear; one may be lost without a gap. */
    hearers: z.int().positive().default(2),
    /** How long a call for the configuration waits for news; a fifth of the bound on configurations otherwise. */
    configurationWaitMs: ms.optional(),
    serversWaitMs: ms.default(10_000),
    boxesWaitMs: ms.default(15_000),
    blockedWaitMs: ms.default(30_000),
    /** How much longer an answer may take before it counts as lost. */
    patienceMs: ms.default(1_000),
    firstPauseMs: ms.default(100),
    mostPauseMs: ms.default(500),
  }),
  bounds: z.strictObject({
    /** A change is in force within this time of its acceptance. */
    configurationMs: ms,
    /** A key that was taken away is refused within this time. */
    keyRemovalMs: ms,
    /**
     * Whether that bound holds while the store is out of reach too; then a box accepts no key once it may be over.
     * Otherwise callers go on being served with what the box knows. A platform without keys leaves it empty.
     */
    isKeyRemovalStrict: z
      .boolean()
      .nullish()
      .transform((given) => given ?? true),
    /** A server that left gets no new work later than this after a box heard of it. */
    leavingMs: ms,
    /**
     * What a server that has just started may get from all boxes together in a second: what its service says that it bears, times
     * `coldOverage`, and `coldSlack`. A platform without such a bound leaves them empty, and nothing is kept back then.
     */
    coldOverage: z
      .number()
      .min(1)
      .nullish()
      .transform((given) => given ?? undefined),
    coldSlack: z
      .number()
      .nonnegative()
      .nullish()
      .transform((given) => given ?? 0),
    /** Time between the order to stop and the end of the process. */
    stopSeconds: z.number().positive(),
  }),
  retries: z.strictObject({
    ratio: z.number().nonnegative(),
    slack: z.number().nonnegative(),
    windowSeconds: z.number().positive(),
  }),
  /** Requests under which servers end. */
  crashes: z
    .strictObject({
      /** Servers that have to end under a request before it is kept from all others. */
      blockingEnds: z.int().min(2).default(3),
      /** How long an end counts, and so how long a request is kept from servers unless an operator releases it. */
      memorySeconds: z.number().positive().default(3_600),
    })
    .prefault({}),
  limits: z
    .strictObject({
      /** Files and sockets that the process may have open. */
      descriptors: z.int().positive().default(4_096),
      /** The box's own link, and its part of a core: stronger boxes hand on more of what all need to know. */
      linkMbps: capacity,
      cores: capacity,
    })
    .prefault({}),
  engines: z
    .strictObject({
      /** How often an engine is asked for its report; boxes tell each other the rest. */
      reportIntervalMs: ms.default(2_000),
      reportLimitMs: ms.default(500),
    })
    .prefault({}),
  /** Ways of deciding, by name; docs/operators/box-settings.md says what each is for. */
  policy: z
    .strictObject({
      engineChoice: z.enum(["free_memory", "short_queue"]).default("short_queue"),
    })
    .prefault({}),
  clients: z
    .strictObject({
      /** When a refused client should come back. */
      retryAfterMs: ms.default(400),
      /** How long a connection to a server may take to come up. */
      connectLimitMs: ms.default(250),
      /** Bodies that are held at once; beyond them a request is refused, not run. */
      heldMb: z.number().positive().default(32),
    })
    .prefault({}),
  log: z
    .strictObject({
      level: z.enum(["debug", "info", "warn", "error", "silent"]).default("info"),
      /** Lines a second beyond which decisions are counted, not written. */
      linesPerSecond: z.int().positive().default(200),
    })
    .prefault({}),
});

/** A box's settings. */
export type BoxSettings = Readonly<z.infer<typeof boxSettingsSchema>>;
