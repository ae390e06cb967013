/**
 * Keeps standby copies of the runs that could not be copied in time once their engine announces that it leaves. Other runs get none,
 * since a copy takes memory at its target for as long as it is kept.
 */
import type { Clock, Ms, Timer } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import type { ActiveRun, RunContinuation } from "@stairgauge/forwarding";
import type { EngineActions } from "./types.js";

/** A change of a standby copy. Each is logged as one line. */
export type StandbyDecision = Readonly<
  | { kind: "standby_begun"; from: string; to: string; tokens: number }
  | { kind: "standby_kept"; from: string; to: string; took: Ms }
  | { kind: "standby_failed"; from: string; to: string; detail: string }
  | { kind: "standby_dropped"; from: string; to: string; detail: string }
>;

/** Dependencies of the keeper. */
export type StandbyKeeperDeps = Readonly<{
  clock: Clock;
  actions: Pick<EngineActions, "copyRun" | "dropCopy">;
  /** Lists this box's movable runs at engines that are not leaving. */
  listRuns: () => readonly ActiveRun[];
  /** Whether the run, without a standby copy, could not be copied in time once its engine leaves. */
  isExposed: (run: ActiveRun) => boolean;
  /** Whether the server would be allowed to get the run if it were new. */
  mayTake: (server: BackendServer, run: ActiveRun) => boolean;
  /** Finds an engine with enough free memory for a copy; undefined if there is none. */
  findTarget: (run: ActiveRun) => BackendServer | undefined;
  /** Reserves the run's tokens at the target until the returned function is called. */
  reserve: (target: BackendServer, run: ActiveRun) => () => void;
  /** How long an engine keeps an unused copy. */
  getCopyLife: (run: ActiveRun) => Ms;
  onDecision: (run: ActiveRun, decision: StandbyDecision) => void;
}>;

/** A copy and the function that ends its reservation at the target. */
export type Standby = Readonly<{ copy: RunContinuation; release: () => void }>;

/** Keeps the standby copies of one box's runs. */
export type StandbyKeeper = Readonly<{
  start: () => void;
  stop: () => void;
  /**
   * Removes and returns a run's copy, which the caller then owns; undefined if there is none. Waits for a copy of the run that is in
   * progress.
   */
  take: (run: ActiveRun) => Promise<Standby | undefined>;
  /** Frees the copy of a run that has ended or moved. */
  drop: (run: ActiveRun) => void;
}>;

type KeptStandby = Standby & Readonly<{ from: BackendServer; keptAt: Ms }>;

/** Interval between two checks of the runs. */
const CHECK_INTERVAL_MS = 400 as Ms;

/** A copy is updated this long before its engine would drop it. */
const REFRESH_MARGIN_MS = 1_500;

/** Timeout of a copy. Moves use the same links. */
const COPY_LIMIT_MS = 2_000 as Ms;

/** Creates the keeper. Its checks run after `start`. */
export const createStandbyKeeper = (deps: StandbyKeeperDeps): StandbyKeeper => {
  const { clock, actions, onDecision } = deps;
  const standbys = new Map<ActiveRun, KeptStandby>();
  /** Runs whose copy in progress `take` waits for. */
  const awaitedRuns = new Set<ActiveRun>();
  let timer: Timer | undefined;
  let isChecking = false;
  /** The copy in progress. There is one at a time, so that the links are free when an engine leaves. */
  let inProgress: Readonly<{ run: ActiveRun; done: Promise<void> }> | undefined;

  /** Frees the run's copy, if there is one. */
  const release = (run: ActiveRun, detail: string) => {
    const standby = standbys.get(run);
    if (!standby) return;
    standbys.delete(run);
    standby.release();
    const { from, copy } = standby;
    const names = { from: from.entry.id, to: copy.server.entry.id };
    onDecision(run, { kind: "standby_dropped", ...names, detail });
    void actions.dropCopy(copy.memory.source, copy.memory.handle);
  };

  /** Returns the run's copy; releases it if its own engine may get no new work, since the run could not continue there. */
  const findUsableStandby = (run: ActiveRun): KeptStandby | undefined => {
    const standby = standbys.get(run);
    if (!standby || deps.mayTake(standby.copy.server, run)) return standby;
    release(run, "its target may get no new runs");
    return undefined;
  };

  /** Copies the run to the target; returns whether that succeeded. */
  const copyTo = async (
    run: ActiveRun,
    target: BackendServer,
    releaseReservation: () => void,
  ) => {
    const from = run.getServer();
    const names = { from: from.entry.id, to: target.entry.id };
    const begunAt = clock.monotonic();
    const answer = await actions.copyRun({
      source: from.entry.address,
      target: target.entry.address,
      id: run.id,
      isLast: false,
      limit: COPY_LIMIT_MS,
    });
    if (answer.kind !== "copied") {
      onDecision(run, { kind: "standby_failed", ...names, detail: answer.kind });
      return false;
    }
    const keptAt = clock.monotonic();
    const memory = { source: from.entry.address, handle: answer.handle };
    onDecision(run, { kind: "standby_kept", ...names, took: (keptAt - begunAt) as Ms });
    standbys.set(run, {
      from,
      copy: { server: target, memory },
      release: releaseReservation,
      keptAt,
    });
    return true;
  };
  const isStillAt = (run: ActiveRun, from: BackendServer) =>
    deps.listRuns().includes(run) && run.getServer().entry.id === from.entry.id;

  const createStandby = async (run: ActiveRun) => {
    const target = deps.findTarget(run);
    if (!target) return;
    const from = run.getServer();
    const names = { from: from.entry.id, to: target.entry.id };
    onDecision(run, { kind: "standby_begun", ...names, tokens: run.getTokens() });
    const releaseReservation = deps.reserve(target, run);
    let isCopied = false;
    try {
      isCopied = await copyTo(run, target, releaseReservation);
    } finally {
      if (!isCopied) releaseReservation();
    }
    if (!isCopied) return;
    if (!awaitedRuns.has(run) && !isStillAt(run, from))
      release(run, "the run ended or moved before its copy was complete");
  };

  const updateStandby = async (run: ActiveRun, standby: KeptStandby) => {
    if (!deps.isExposed(run)) {
      release(run, "the run could now be copied in time without it");
      return;
    }
    if (await copyTo(run, standby.copy.server, standby.release)) return;
    const age = clock.monotonic() - standby.keptAt;
    if (age >= deps.getCopyLife(run) - CHECK_INTERVAL_MS)
      release(run, "it could not be updated");
  };

  /** Returns the copy or update that is due for the run; undefined if there is none. */
  const findDueCopy = (run: ActiveRun): (() => Promise<void>) | undefined => {
    const standby = findUsableStandby(run);
    if (!standby) return deps.isExposed(run) ? () => createStandby(run) : undefined;
    const age = clock.monotonic() - standby.keptAt;
    const isDue = age >= deps.getCopyLife(run) - REFRESH_MARGIN_MS;
    return isDue ? () => updateStandby(run, standby) : undefined;
  };

  const checkRun = async (run: ActiveRun) => {
    const done = findDueCopy(run)?.();
    if (!done) return;
    inProgress = { run, done };
    try {
      await done;
    } finally {
      inProgress = undefined;
    }
  };
  /** An error of one run keeps no other run from being checked; the first one is passed on. */
  const checkRuns = async () => {
    if (isChecking) return;
    isChecking = true;
    const errors: unknown[] = [];
    for (const run of deps.listRuns())
      await checkRun(run).catch((error: unknown) => errors.push(error));
    isChecking = false;
    if (errors.length > 0) throw errors[0];
  };
  const schedule = () => {
    timer = clock.setTimer(CHECK_INTERVAL_MS, () => {
      void checkRuns();
      schedule();
    });
  };

  return {
    start: schedule,
    stop: () => timer?.cancel(),
    take: async (run) => {
      if (inProgress?.run === run) {
        awaitedRuns.add(run);
        // A copy that failed with an error, which the check passes on, is none.
        await inProgress.done.catch(() => undefined);
        awaitedRuns.delete(run);
      }
      const standby = findUsableStandby(run);
      standbys.delete(run);
      return standby;
    },
    drop: (run) => release(run, "the run ended or moved"),
  };
};
