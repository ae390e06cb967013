/**
 * Keeps standby copies of runs that their engine's link could not copy once it says that it goes, and of no
 * others: a copy takes memory at its target for as long as it is kept.
 */
import type { Clock, Ms, Timer } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import type { ActiveRun, RunContinuation } from "@stairgauge/forwarding";
import type { EngineActions } from "./types.js";

/** A step of a standby; each is logged as one line. */
export type StandbyDecision = Readonly<
  | { kind: "standby_begun"; from: string; to: string; tokens: number }
  | { kind: "standby_kept"; from: string; to: string; took: Ms }
  | { kind: "standby_failed"; from: string; to: string; detail: string }
  | { kind: "standby_dropped"; from: string; to: string; detail: string }
>;

/** What the keeper needs. */
export type StandbyKeeperDeps = Readonly<{
  clock: Clock;
  actions: Pick<EngineActions, "copyRun" | "dropCopy">;
  /** Runs of this box that could be moved and are at engines that stay. */
  listRuns: () => readonly ActiveRun[];
  /** Whether its engine's link would come too late for the run, were there no copy of it. */
  isExposed: (run: ActiveRun) => boolean;
  /** Whether a server may be sent the run, were it new. */
  mayTake: (server: BackendServer, run: ActiveRun) => boolean;
  /** An engine with memory to spare for a copy. */
  findTarget: (run: ActiveRun) => BackendServer | undefined;
  reserve: (target: BackendServer, run: ActiveRun) => () => void;
  /** How long an engine keeps a copy that nobody asks for. */
  getCopyLife: (run: ActiveRun) => Ms;
  onDecision: (run: ActiveRun, decision: StandbyDecision) => void;
}>;

/** A copy and what it holds. */
export type Standby = Readonly<{ copy: RunContinuation; release: () => void }>;

/** Standby copies of one box's runs. */
export type StandbyKeeper = Readonly<{
  start: () => void;
  stop: () => void;
  /** Hands a run's copy over to whoever moves it, once a copy under way is there. */
  take: (run: ActiveRun) => Promise<Standby | undefined>;
  /** The run has ended, or is elsewhere: its copy is freed. */
  drop: (run: ActiveRun) => void;
}>;

type Kept = Standby & Readonly<{ from: BackendServer; keptAt: Ms }>;

/** How often the box looks at its runs. */
const LOOK_INTERVAL_MS = 400 as Ms;

/** A copy is brought up to date this long before its engine would drop it. */
const REFRESH_MARGIN_MS = 1_500;

/** Longest that a copy may take: links are shared with moves. */
const COPY_LIMIT_MS = 2_000 as Ms;

/** Creates the keeper; it looks at nothing until it is started. */
export const createStandbyKeeper = (deps: StandbyKeeperDeps): StandbyKeeper => {
  const { clock, actions, onDecision } = deps;
  const kept = new Map<ActiveRun, Kept>();
  /** Runs whose mover waits for the copy under way. */
  const awaited = new Set<ActiveRun>();
  let timer: Timer | undefined;
  let isLooking = false;
  /** One copy at a time, so that a notice finds the links free. */
  let underWay: Readonly<{ run: ActiveRun; done: Promise<void> }> | undefined;

  const release = (run: ActiveRun, detail: string) => {
    const standby = kept.get(run);
    if (!standby) return;
    kept.delete(run);
    standby.release();
    const { from, copy } = standby;
    const names = { from: from.entry.id, to: copy.server.entry.id };
    onDecision(run, { kind: "standby_dropped", ...names, detail });
    void actions.dropCopy(copy.memory.source, copy.memory.handle);
  };

  /** A copy at an engine that goes itself, or whose data hall is closed to new work, is worth nothing. */
  const findKept = (run: ActiveRun): Kept | undefined => {
    const standby = kept.get(run);
    if (!standby || deps.mayTake(standby.copy.server, run)) return standby;
    release(run, "its target gets no new work");
    return undefined;
  };

  const copyTo = async (
    run: ActiveRun,
    target: BackendServer,
    dropReserve: () => void,
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
    kept.set(run, {
      from,
      copy: { server: target, memory },
      release: dropReserve,
      keptAt,
    });
    return true;
  };
  const isStillAt = (run: ActiveRun, from: BackendServer) =>
    deps.listRuns().includes(run) && run.getServer().entry.id === from.entry.id;

  const begin = async (run: ActiveRun) => {
    const target = deps.findTarget(run);
    if (!target) return;
    const from = run.getServer();
    const names = { from: from.entry.id, to: target.entry.id };
    onDecision(run, { kind: "standby_begun", ...names, tokens: run.getTokens() });
    const dropReserve = deps.reserve(target, run);
    if (!(await copyTo(run, target, dropReserve))) {
      dropReserve();
      return;
    }
    if (!awaited.has(run) && !isStillAt(run, from))
      release(run, "the run was over before its copy was there");
  };

  const update = async (run: ActiveRun, standby: Kept) => {
    if (!deps.isExposed(run)) {
      release(run, "the link would carry it now");
      return;
    }
    if (await copyTo(run, standby.copy.server, standby.release)) return;
    const age = clock.monotonic() - standby.keptAt;
    if (age >= deps.getCopyLife(run) - LOOK_INTERVAL_MS)
      release(run, "it could not be brought up to date");
  };

  const findDue = (run: ActiveRun): (() => Promise<void>) | undefined => {
    const standby = findKept(run);
    if (!standby) return deps.isExposed(run) ? () => begin(run) : undefined;
    const age = clock.monotonic() - standby.keptAt;
    const isDue = age >= deps.getCopyLife(run) - REFRESH_MARGIN_MS;
    return isDue ? () => update(run, standby) : undefined;
  };

  const look = async () => {
    if (isLooking) return;
    isLooking = true;
    for (const run of deps.listRuns()) {
      const done = findDue(run)?.();
      if (!done) continue;
      underWay = { run, done };
      await done;
      underWay = undefined;
    }
    isLooking = false;
  };
  const schedule = () => {
    timer = clock.setTimer(LOOK_INTERVAL_MS, () => {
      void look();
      schedule();
    });
  };

  return {
    start: schedule,
    stop: () => timer?.cancel(),
    take: async (run) => {
      if (underWay?.run === run) {
        awaited.add(run);
        await underWay.done;
        awaited.delete(run);
      }
      const standby = findKept(run);
      kept.delete(run);
      return standby;
    },
    drop: (run) => release(run, "the run is over or elsewhere"),
  };
};
