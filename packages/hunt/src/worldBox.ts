/** One box of the small world: a real relay, guard and watcher behind a gate. */
import { indexBundle, type BundleHead, type TrustedOperator } from "@stairgauge/bundle";
import { createOnceGuard, createWriteBatcher, type OnceGuard } from "@stairgauge/claims";
import {
  createSeededRandom,
  type BackendServerName,
  type Clock,
  type Ms,
} from "@stairgauge/common";
import type { EngineClient } from "@stairgauge/engines";
import type { Platform } from "@stairgauge/stores";
import { createRelay, type Relay } from "@stairgauge/relay";
import { createHeadWatcher } from "@stairgauge/rollout";
import { createLogger, createMetrics } from "@stairgauge/telemetry";
import {
  createGate,
  createGatedClock,
  createGatedEngines,
  createGatedPlatform,
  type Gate,
} from "./gate.js";
import type { Variant } from "./worldTypes.js";

const RESUME_GRACE_MS = 20_000 as Ms;
const POLL_MS = 1_000 as Ms;
const CLAIM_CALLS_PER_SECOND = 20;
const LOGGER = createLogger({ level: "silent", format: "json", base: {} });
const METRICS = createMetrics();

/** A box of the small world. */
export type WorldBox = Readonly<{
  gate: Gate;
  relay: Relay;
  guard: OnceGuard;
  adopted: readonly BundleHead[];
  /** Tells the box that an engine leaves, or does no longer. */
  mark: (engine: number, isLeaving: boolean) => void;
}>;

/** What a box is made of. */
export type WorldBoxOptions = Readonly<{
  clock: Clock;
  engines: EngineClient;
  platform: Platform;
  trusted: readonly TrustedOperator[];
  variant: Variant;
  /** Receives each head that the box adopts. */
  adopted: BundleHead[];
  seed: number;
  /** Engines that are marked when the box starts. */
  listLeaving: () => readonly number[];
}>;

/** Starts a box with empty memory. */
export const createWorldBox = (options: WorldBoxOptions): WorldBox => {
  const { variant, adopted } = options;
  const gate = createGate();
  const clock = createGatedClock(options.clock, gate);
  const random = createSeededRandom(options.seed);
  const engines = createGatedEngines(options.engines, gate);
  const platform = createGatedPlatform(options.platform, gate);
  const { table } = platform;
  const relay = createRelay({
    clock,
    random,
    engines: variant.wrapEngines?.(engines) ?? engines,
    logger: LOGGER,
    metrics: METRICS,
    resumeGrace: RESUME_GRACE_MS,
  });
  const batcher = createWriteBatcher({
    table,
    clock,
    callsPerSecond: CLAIM_CALLS_PER_SECOND,
  });
  const guard = createOnceGuard({ table, batcher, random, clock });

  const mark = (engine: number, isLeaving: boolean) => {
    if (variant.ignoresMarks) return;
    relay.markServer(`engine-${engine + 1}` as BackendServerName, isLeaving);
  };
  const createWatcher = () =>
    createHeadWatcher({
      platform,
      rules: { trusted: options.trusted, approvalsNeeded: 1 },
      clock,
      interval: POLL_MS,
      onAdopted: (active) => {
        adopted.push(active.head);
        relay.adopt(indexBundle(active));
        for (const engine of options.listLeaving()) mark(engine, true);
      },
      onFailure: () => undefined,
    });

  createWatcher().start();
  if (variant.adoptsAnyVersion) clock.setTimer(POLL_MS, () => createWatcher().start());
  return { gate, relay, guard: variant.wrapGuard?.(guard) ?? guard, adopted, mark };
};
