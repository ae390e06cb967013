/** Settings of a box on a platform whose store holds the configuration and the server list. */
import { z } from "zod";

const ADDRESS_PATTERN = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/;

const address = z.string().regex(ADDRESS_PATTERN, "expected IP:PORT by IP number");
const ms = z.number().positive();
const capacity = z
  .number()
  .positive()
  .nullish()
  .transform((given) => given ?? 1);

/** Schema of the settings file. */
export const boxSettingsSchema = z.strictObject({
  box: z.string().min(1),
  dataHall: z.string().min(1),
  /** The region of each data hall; routes and workspaces may be restricted to some regions. */
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
  /** Addresses of boxes to ask for data if the store is unreachable at the start; some may be outdated or down. */
  seeds: z
    .array(address)
    .nullish()
    .transform((given) => given ?? []),
  store: z.strictObject({
    address,
    /** Number of store readers: boxes that wait on the store for updates and pass them on. With two, one may fail without a gap. */
    hearers: z.int().positive().default(2),
    /** How long a call for the configuration waits for an update; a fifth of `bounds.configurationMs` if missing. */
    configurationWaitMs: ms.optional(),
    serversWaitMs: ms.default(10_000),
    boxesWaitMs: ms.default(15_000),
    blockedWaitMs: ms.default(30_000),
    /** How much longer than its wait time a call may take before it counts as failed. */
    patienceMs: ms.default(1_000),
    firstPauseMs: ms.default(100),
    /** With the jitter of half of it, a box learns within 1.5 s that the store answers again. */
    mostPauseMs: ms.default(1_000),
  }),
  bounds: z.strictObject({
    /** A configuration change is in force at most this long after it was accepted. */
    configurationMs: ms,
    /** A removed key is refused at most this long after its removal. */
    keyRemovalMs: ms,
    /**
     * Whether `keyRemovalMs` also holds while the store is unreachable: the box then refuses every key once that time may have
     * passed. If false, the box goes on with the configuration that it has. A platform without keys leaves it empty.
     */
    isKeyRemovalStrict: z
      .boolean()
      .nullish()
      .transform((given) => given ?? true),
    /** A server that left gets no new work from any box later than this after the first box learned of it. */
    leavingMs: ms,
    /**
     * Limit on the requests that a just started server gets from all boxes together in a second: the rate that its service
     * states, times `coldOverage`, plus `coldSlack`. A platform without such a limit leaves both empty; then nothing is held back.
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
    /** Longest time from the stop signal to the exit of the process. */
    stopSeconds: z.number().positive(),
  }),
  retries: z.strictObject({
    ratio: z.number().nonnegative(),
    slack: z.number().nonnegative(),
    windowSeconds: z.number().positive(),
  }),
  /** Requests that crash servers. */
  crashes: z
    .strictObject({
      /** Number of servers that must crash while they run a request before it is blocked everywhere. */
      blockingEnds: z.int().min(2).default(3),
      /** How long a crash counts, and so how long a request stays blocked unless an operator releases it. */
      memorySeconds: z.number().positive().default(3_600),
    })
    .prefault({}),
  limits: z
    .strictObject({
      /** Number of files and sockets that the process may have open. */
      descriptors: z.int().positive().default(4_096),
      /** The machine's memory in MB; if it is given, the memory for clients' bytes is a share of it at most. */
      memoryMb: z
        .number()
        .positive()
        .nullish()
        .transform((given) => given ?? undefined),
      /** The box's network bandwidth in Mbit/s and its CPU cores or fraction of one; boxes with more of them pass on more of the updates for all boxes. */
      linkMbps: capacity,
      cores: capacity,
    })
    .prefault({}),
  engines: z
    .strictObject({
      /** Interval at which an engine's report is fetched; between reports, boxes share their changes. */
      reportIntervalMs: ms.default(2_000),
      reportLimitMs: ms.default(500),
    })
    .prefault({}),
  /** Choice of algorithms, by name; docs/operators/box-settings.md describes each. */
  policy: z
    .strictObject({
      engineChoice: z.enum(["free_memory", "short_queue"]).default("short_queue"),
    })
    .prefault({}),
  clients: z
    .strictObject({
      /** After how long a refused client should retry. */
      retryAfterMs: ms.default(400),
      /** Time limit for connecting to a server. */
      connectLimitMs: ms.default(250),
      /** Memory for request bodies that are held at once, in MB; a request that exceeds it is refused without being run. */
      heldMb: z.number().positive().default(32),
      /** Memory for what clients have sent and this box has not handled yet, and for answers that they don't read, in MB. */
      unreadMb: z.number().positive().default(16),
      /** Memory for servers' answers that are held until they are whole, in MB. */
      answersMb: z.number().positive().default(16),
    })
    .prefault({}),
  /** Requests that this box sends for boxes which have lost their own paths to servers. */
  carrying: z
    .strictObject({
      /** Share of `limits.descriptors` that they may use. */
      descriptorShare: z.number().min(0).max(0.5).default(0.125),
      /** Memory for their bodies, in MB. */
      heldMb: z.number().positive().default(16),
    })
    .prefault({}),
  log: z
    .strictObject({
      level: z.enum(["debug", "info", "warn", "error", "silent"]).default("info"),
      /** Log lines per second; decisions beyond it are counted but not written. */
      linesPerSecond: z.int().positive().default(200),
    })
    .prefault({}),
});

/** A box's settings. */
export type BoxSettings = Readonly<z.infer<typeof boxSettingsSchema>>;
