/** Simulates a load under one policy on the virtual clock. */
import { createVirtualClock, type GenerationId, type Ms } from "@stairgauge/common";
import { createClairvoyantPolicy } from "./clairvoyantPolicy.js";
import { createEngineDriver, type EngineDriver } from "./engineDriver.js";
import { createNaivePolicy } from "./naivePolicy.js";
import { createStairgaugePolicy } from "./stairgaugePolicy.js";
import { createStatistics, type PolicyReport } from "./statistics.js";
import type { Arrival, Fault, Policy, PolicySetting, Profile } from "./types.js";

const MS_PER_SECOND = 1_000;
const TICK_MS = 250;
const REPORT_EVERY_MS = 500;
const REPORT_LAG_MS = 200;
/** Faults begin at this share of the run. */
const FAULT_AT = 1 / 3;
const FAULT_LASTS_MS = 30_000;
const STALL_LASTS_MS = 3_000;
const RECLAIM_NOTICE_MS = 5_000;

/** The policies by name. */
export const POLICIES = {
  naive: createNaivePolicy,
  stairgauge: createStairgaugePolicy,
  clairvoyant: createClairvoyantPolicy,
} as const satisfies Record<string, (setting: PolicySetting) => Policy>;

/** Name of a policy. */
export type PolicyName = keyof typeof POLICIES;

/** Options of a run. */
export type RunOptions = Readonly<{
  policy: PolicyName;
  profile: Profile;
  arrivals: readonly Arrival[];
  /** Time in which the load arrives. */
  durationMs: number;
  /** Additional time for open requests to end. */
  drainMs: number;
  boxes: number;
  seed: number;
  faults: readonly Fault[];
}>;

/** Runs the load and returns the results. */
export const runPolicy = (options: RunOptions): PolicyReport => {
  const { profile, arrivals, durationMs, boxes } = options;
  const clock = createVirtualClock();
  const statistics = createStatistics();
  const byId = new Map(arrivals.map((arrival) => [arrival.id, arrival]));
  const endMs = durationMs + options.drainMs;
  const stoppedBoxes = new Set<number>();
  let areReportsFrozen = false;

  const engines: EngineDriver[] = Array.from({ length: profile.engines }, (_, engine) =>
    createEngineDriver(clock, profile.engine, {
      onToken: (id, generated) => {
        statistics.recordToken(id, clock.now());
        policy.handleProgress(id, generated, clock.now());
      },
      onFinished: (id, generated) => {
        statistics.recordCompleted(id);
        policy.handleEnd(id, generated, true, clock.now());
      },
      onPreempted: statistics.recordPreemptions,
      onLost: (id, generated) => dropStream(id, generated, engine),
    }),
  );

  /** Handles a stream whose engine died: before the first token it is placed again, later it is lost. */
  const dropStream = (id: GenerationId, generated: number, engine: number) => {
    if (generated === 0) {
      clock.setTimer(0 as Ms, () => policy.handleFailure(id, engine, clock.now()));
      return;
    }
    statistics.recordLost(id);
    policy.handleEnd(id, generated, false, clock.now());
  };

  const policy = POLICIES[options.policy]({
    profile,
    boxes,
    seed: options.seed,
    actions: {
      place: (id, engine, priority) => engines[engine]!.start(byId.get(id)!, priority),
      refuse: statistics.recordRefused,
    },
    getEngineState: (engine) => engines[engine]!.getEngineState(),
  });

  const handleArrival = (arrival: Arrival) => {
    statistics.recordArrival(arrival);
    const isStopped = stoppedBoxes.has(arrival.box);
    const box = isStopped ? (arrival.box + 1) % boxes : arrival.box;
    policy.handleArrival({ ...arrival, box }, clock.now());
  };
  const scheduleArrival = (next: number) => {
    const arrival = arrivals[next];
    if (!arrival) return;
    clock.setTimer((arrival.at - clock.now()) as Ms, () => {
      handleArrival(arrival);
      scheduleArrival(next + 1);
    });
  };
  const tick = () => {
    policy.handleTick(clock.now());
    clock.setTimer(TICK_MS as Ms, tick);
  };
  const report = (engine: number) => {
    if (!areReportsFrozen && engines[engine]!.isAlive()) {
      const load = { ...engines[engine]!.getLoad(), isLeaving: false };
      clock.setTimer(REPORT_LAG_MS as Ms, () => {
        for (let box = 0; box < boxes; box += 1)
          policy.handleReport(box, engine, load, clock.now());
      });
    }
    clock.setTimer(REPORT_EVERY_MS as Ms, () => report(engine));
  };

  const schedule = (ms: number, run: () => void) => clock.setTimer(ms as Ms, run);
  const stopEngine = (engine: number) => {
    engines[engine]!.kill();
    schedule(FAULT_LASTS_MS, engines[engine]!.revive);
  };
  const startFault = (fault: Fault) => {
    switch (fault) {
      case "engine-death":
        return stopEngine(0);
      case "reclaim":
        policy.handleMark(1, true, clock.now());
        schedule(RECLAIM_NOTICE_MS, () => stopEngine(1));
        schedule(RECLAIM_NOTICE_MS + FAULT_LASTS_MS, () =>
          policy.handleMark(1, false, clock.now()),
        );
        return;
      case "reports-frozen":
        areReportsFrozen = true;
        schedule(FAULT_LASTS_MS, () => (areReportsFrozen = false));
        return;
      case "stalled-link":
        engines[2]!.setStalled(true);
        schedule(STALL_LASTS_MS, () => engines[2]!.setStalled(false));
        return;
      case "box-lost":
        stoppedBoxes.add(0);
        policy.handleBoxLoss(0, clock.now());
        schedule(FAULT_LASTS_MS, () => stoppedBoxes.delete(0));
    }
  };

  scheduleArrival(0);
  tick();
  engines.forEach((_, engine) =>
    schedule((engine * REPORT_EVERY_MS) / engines.length, () => report(engine)),
  );
  for (const fault of options.faults)
    schedule(durationMs * FAULT_AT, () => startFault(fault));
  clock.advance(endMs as Ms);
  statistics.closeAt(endMs);
  return statistics.render(durationMs / MS_PER_SECOND, policy.countWaiting());
};
