/** One simulated box: a real relay, guard and head watcher behind a gate. */
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
import type { Variant } from "./simulationTypes.js";

const RESUME_GRACE_MS = 20_000 as Ms;
const POLL_MS = 1_000 as Ms;
const CLAIM_CALLS_PER_SECOND = 20;
const LOGGER = createLogger({ level: "silent", format: "json", base: {} });
const METRICS = createMetrics();

/** One run of a simulated box. */
export type SimulatedBox = Readonly<{
  gate: Gate;
  relay: Relay;
  guard: OnceGuard;
  /** Heads that this run adopted, in order. */
  adopted: readonly BundleHead[];
  /** Sets or clears the leaving mark of an engine at this box. */
  mark: (engine: number, isLeaving: boolean) => void;
}>;

/** Parts and settings of a simulated box. */
export type SimulatedBoxOptions = Readonly<{
  clock: Clock;
  engines: EngineClient;
  platform: Platform;
  trusted: readonly TrustedOperator[];
  variant: Variant;
  /** The box appends each head that it adopts. */
  adopted: BundleHead[];
  seed: number;
  /** Lists the engines that are leaving; their marks are set again on each adoption. */
  listLeaving: () => readonly number[];
}>;

/** Starts a box without any state from before. */
export const createSimulatedBox = (options: SimulatedBoxOptions): SimulatedBox => {
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
