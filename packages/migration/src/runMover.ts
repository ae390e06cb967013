/**
 * Moves the runs of a leaving engine to other engines.
 *
 * Each run is copied while it continues, then stopped, and continues at once from its copy. The target recomputes what the copy lacks,
 * which is faster than waiting for the link to copy the rest. If the engine ends before the stop, the run continues from the copy too.
 * The forwarder switches the stream: when a server has ended it, the forwarder calls `recover` to find where the run continues.
 */
import type { Clock, Ms } from "@stairgauge/common";
import type { BackendServer, ServerAddress, ServerId } from "@stairgauge/directory";
import type {
  ActiveRun,
  ContinuationOutcome,
  RunContinuation,
  RunKeeper,
} from "@stairgauge/forwarding";
import type { EvacuationPlan } from "./planEvacuation.js";
import { createRunStops } from "./runStops.js";
import type { Standby } from "./standbyKeeper.js";
import type { CopyAnswer, EngineActions } from "./types.js";

/** A step of a move. Each is logged as one line. */
export type MoveDecision = Readonly<
  | { kind: "move_begun"; from: string; to: string; tokens: number }
  | { kind: "copied"; from: string; to: string; took: Ms; handle: string }
  | { kind: "stopped"; from: string; to: string; took: Ms; handle: string }
  | { kind: "copy_failed"; from: string; to: string; detail: string }
  | { kind: "no_target"; from: string }
  | { kind: "move_cancelled"; from: string }
  | { kind: "goes_on_from_copy"; from: string; to: string; detail: string }
  | { kind: "goes_back_to_source"; from: string; detail: string }
  | { kind: "not_recovered"; from: string; detail: string }
>;

/** Dependencies of the mover. */
export type RunMoverDeps = Readonly<{
  clock: Clock;
  actions: EngineActions;
  findServer: (id: ServerId) => BackendServer | undefined;
  listRunsAt: (server: BackendServer) => readonly ActiveRun[];
  isLeaving: (server: BackendServer) => boolean;
  /** Whether the server would be allowed to get the run if it were new. */
  mayTake: (server: BackendServer, run: ActiveRun) => boolean;
  /** Whether the server's data hall is closed to new work. A run that was stopped there can't continue there either. */
  isHallClosed: (server: BackendServer) => boolean;
  /** Reads the report of a leaving engine and plans the moves of its runs. */
  makePlan: (server: BackendServer) => Promise<EvacuationPlan>;
  /** Ranks the targets for one run by the current loads, best first. */
  rankNow: (server: BackendServer, run: ActiveRun) => Promise<readonly ServerId[]>;
  /** Removes and returns the standby copy of the run; undefined if there is none. */
  takeStandby: (run: ActiveRun) => Promise<Standby | undefined>;
  dropStandby: (run: ActiveRun) => void;
  /** Reserves the run's tokens at the target until the returned function is called. */
  reserve: (target: BackendServer, run: ActiveRun) => () => void;
  onDecision: (run: ActiveRun, decision: MoveDecision) => void;
}>;

type Move = {
  readonly from: BackendServer;
  /** Whether the run's stream has broken off, so that the run moves although its engine stays. */
  isBroken: boolean;
  /** Ends the reservation at the target. */
  release: () => void;
  /** The copy at the target; undefined until the first copy is complete, and once the run continues from it. */
  copy: RunContinuation | undefined;
  /** Resolves with where the run continues, or undefined if the stop failed. Set while the run is stopped, until the result is used. */
  stopping: Promise<RunContinuation | undefined> | undefined;
  /** Where the stopped run continues at its source if its target refuses it; undefined before the stop and once it is used. */
  source: RunContinuation | undefined;
};

/** Timeout of a copy; a leaving engine has ended by then. */
const COPY_LIMIT_MS = 3_000 as Ms;

/** Timeout of the call that stops a run at an engine which broke off its stream. */
const STOP_LIMIT_MS = 250 as Ms;

/** Timeout of the copy of a run whose connection was lost; callers leave a stream that pauses for two seconds. */
const INTERRUPTED_LIMIT_MS = 1_000 as Ms;

/** Targets attempted for one move before the targets are ranked again. */
const MAX_TARGETS = 3;

/** Rounds of targets for one move, and the pause between them. Targets become available as runs end and servers join. */
const MAX_ROUNDS = 8;
const ROUND_PAUSE_MS = 150;

/** Moves runs between engines so that they survive the end of their engine. */
export type RunMover = RunKeeper &
  Readonly<{
    /** Starts to move the runs of an engine that leaves. */
    onServerLeaving: (server: BackendServer) => void;
    /** Drops the plan of an engine that has been removed from the directory. */
    onServerForgotten: (server: BackendServer) => void;
  }>;

const describeAnswer = (answer: CopyAnswer): string =>
  answer.kind === "no_answer" ? `no answer: ${answer.detail}` : answer.kind;

/** Creates the mover. */
export const createRunMover = (deps: RunMoverDeps): RunMover => {
  const { clock, actions, listRunsAt, isLeaving, reserve, onDecision } = deps;
  const moves = new Map<ActiveRun, Move>();
  const plans = new Map<ServerId, Promise<EvacuationPlan>>();
  const stops = createRunStops();

  const dropMove = (move: Move) => {
    move.release();
    // An unused copy would take memory at its target until it expires.
    if (move.copy)
      void actions.dropCopy(move.copy.memory.source, move.copy.memory.handle);
  };
  const endMove = (run: ActiveRun) => {
    const move = moves.get(run);
    if (!move) return;
    moves.delete(run);
    dropMove(move);
  };
  const isCurrent = (run: ActiveRun, move: Move) => moves.get(run) === move;
  /** Cancels the move if its engine no longer leaves, since it would stop the run there; returns whether the move goes on. */
  const checkMove = (run: ActiveRun, move: Move): boolean => {
    if (!isCurrent(run, move)) return false;
    if (move.isBroken || move.stopping || isLeaving(move.from)) return true;
    const { id } = move.from.entry;
    onDecision(run, { kind: "move_cancelled", from: id });
    plans.delete(id);
    endMove(run);
    return false;
  };

  const getPlan = (server: BackendServer): Promise<EvacuationPlan> => {
    const { id } = server.entry;
    const known = plans.get(id);
    if (known) return known;
    const plan = deps.makePlan(server);
    plans.set(id, plan);
    // The next run gets a new plan.
    plan.catch(() => {
      if (plans.get(id) === plan) plans.delete(id);
    });
    return plan;
  };

  const waitUntil = (at: number) =>
    new Promise<void>((resolve) => {
      const left = at - clock.monotonic();
      if (left <= 0) resolve();
      else clock.setTimer(left as Ms, resolve);
    });

  const copyOnce = async (
    run: ActiveRun,
    request: Readonly<{
      from: BackendServer;
      target: BackendServer;
      isLast: boolean;
      limit?: Ms | undefined;
    }>,
  ): Promise<CopyAnswer> => {
    const { from, target, isLast, limit = COPY_LIMIT_MS } = request;
    const begunAt = clock.monotonic();
    const asked = actions.copyRun({
      source: from.entry.address,
      target: target.entry.address,
      id: run.id,
      isLast,
      limit,
    });
    if (isLast) stops.record(run, from, asked);
    const answer = await asked;
    const took = (clock.monotonic() - begunAt) as Ms;
    const names = { from: from.entry.id, to: target.entry.id };
    if (answer.kind === "copied")
      onDecision(run, {
        kind: isLast ? "stopped" : "copied",
        ...names,
        took,
        handle: answer.handle,
      });
    else
      onDecision(run, { kind: "copy_failed", ...names, detail: describeAnswer(answer) });
    return answer;
  };

  const makeContinuation = (
    server: BackendServer,
    source: ServerAddress,
    handle: string,
  ): RunContinuation => ({ server, memory: { source, handle } });

  const stopAtSource = async (
    run: ActiveRun,
    move: Move,
    target: BackendServer,
    limit: Ms = COPY_LIMIT_MS,
  ): Promise<RunContinuation | undefined> => {
    const { from } = move;
    const { address } = from.entry;
    const answer = await copyOnce(run, { from, target, isLast: true, limit });
    if (answer.kind === "copied") {
      move.source = makeContinuation(from, address, answer.handle);
      return makeContinuation(target, address, answer.handle);
    }
    // A run that was stopped while its target lacked memory remains at its source and continues there.
    if (answer.kind === "no_room" && answer.handle !== undefined)
      return makeContinuation(from, address, answer.handle);
    return undefined;
  };

  /**
   * Copies the run to a target and begins to stop it at its source. Returns false when another target is to be attempted, since this
   * one lacks memory or another copy is in progress. A run whose stop is refused continues at its source until the source ends, and
   * then from this copy: a copy to another target would make this one invalid.
   */
  const attemptMove = async (
    run: ActiveRun,
    move: Move,
    target: BackendServer,
    limit?: Ms,
  ) => {
    const { from } = move;
    move.release();
    move.release = reserve(target, run);
    const names = { from: from.entry.id, to: target.entry.id };
    onDecision(run, { kind: "move_begun", ...names, tokens: run.getTokens() });
    const copied = await copyOnce(run, { from, target, isLast: false, limit });
    if (copied.kind !== "copied")
      return copied.kind !== "no_room" && copied.kind !== "under_way";
    if (!checkMove(run, move)) {
      // The run ended or its move was cancelled during the copy, which would take memory until it expires.
      void actions.dropCopy(from.entry.address, copied.handle);
      return true;
    }
    move.copy = makeContinuation(target, from.entry.address, copied.handle);
    move.stopping = stopAtSource(run, move, target, limit);
    return true;
  };

  const mayMoveTo = (
    run: ActiveRun,
    target: BackendServer | undefined,
  ): target is BackendServer => target !== undefined && deps.mayTake(target, run);

  /** Attempts the targets in turn. Returns true when no further ones are needed. */
  const attemptEach = async (
    run: ActiveRun,
    move: Move,
    targets: readonly ServerId[],
    limit?: Ms,
  ) => {
    const allowed = targets.filter((id) => mayMoveTo(run, deps.findServer(id)));
    for (const id of allowed.slice(0, MAX_TARGETS)) {
      const target = deps.findServer(id);
      if (!checkMove(run, move)) return true;
      if (!mayMoveTo(run, target)) continue;
      if (await attemptMove(run, move, target, limit)) return true;
    }
    return false;
  };

  /** Updates an existing copy of the run, then stops the run. */
  const updateCopyAndStop = async (run: ActiveRun, move: Move, target: BackendServer) => {
    const { from } = move;
    await copyOnce(run, { from, target, isLast: false });
    if (checkMove(run, move) && move.copy)
      move.stopping = stopAtSource(run, move, target);
  };

  const attemptTargets = async (run: ActiveRun, move: Move): Promise<void> => {
    const plan = (await getPlan(move.from)).planRun(run.id, run.getTokens());
    await waitUntil(plan.copyAt);
    if (!checkMove(run, move)) return;
    if (move.copy) {
      await updateCopyAndStop(run, move, move.copy.server);
      return;
    }
    let { targets } = plan;
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      if (await attemptEach(run, move, targets)) return;
      onDecision(run, { kind: "no_target", from: move.from.entry.id });
      await waitUntil(clock.monotonic() + ROUND_PAUSE_MS);
      if (!checkMove(run, move)) return;
      targets = await deps.rankNow(move.from, run);
      if (!checkMove(run, move)) return;
    }
  };

  /** Creates the move of a run. It starts from the run's standby copy if there is one. */
  const createMove = async (run: ActiveRun, from: BackendServer): Promise<Move> => {
    const move: Move = {
      from,
      isBroken: false,
      release: () => undefined,
      copy: undefined,
      stopping: undefined,
      source: undefined,
    };
    moves.set(run, move);
    const standby = await deps.takeStandby(run);
    if (!standby) return move;
    move.release = standby.release;
    move.copy = standby.copy;
    if (!isCurrent(run, move)) dropMove(move);
    return move;
  };

  const startMove = async (run: ActiveRun, from: BackendServer) => {
    // A resumable stream can be continued by a new run, without its memory.
    if (run.route.isResumable || moves.has(run)) return;
    await attemptTargets(run, await createMove(run, from));
  };

  /**
   * Stops the run at its source before it continues from a copy. Only the connection may have been lost, and the run must not continue
   * in two places. The call fails at once if the engine is dead.
   */
  const confirmStopped = async (run: ActiveRun, move: Move) => {
    if (!move.copy || move.stopping) return;
    await stopAtSource(run, move, move.copy.server, STOP_LIMIT_MS);
  };

  /**
   * Moves a run without a copy whose stream broke off: its engine may still run it, since only the
   * connection was lost. The run must have stopped there before it continues from the copy.
   */
  const recoverInterrupted = async (run: ActiveRun, move: Move) => {
    if (run.route.isResumable || move.copy) return;
    const targets = await deps.rankNow(move.from, run);
    await attemptEach(run, move, targets, INTERRUPTED_LIMIT_MS);
    const stopped = await takeStopped(move);
    if (stopped) {
      move.stopping = Promise.resolve(stopped);
      return;
    }
    dropMove(move);
    move.copy = undefined;
  };

  /** Removes and returns the copy. */
  const takeCopy = (run: ActiveRun, move: Move, detail: string) => {
    const { copy } = move;
    move.copy = undefined;
    if (!copy) return undefined;
    const from = move.from.entry.id;
    const to = copy.server.entry.id;
    onDecision(run, { kind: "goes_on_from_copy", from, to, detail });
    return copy;
  };

  /** Removes and returns the result of the stop. */
  const takeStopped = (move: Move) => {
    const { stopping } = move;
    move.stopping = undefined;
    return stopping;
  };

  /** Removes and returns the continuation at the source. */
  const takeSource = (run: ActiveRun, move: Move, detail: string) => {
    const { source } = move;
    move.source = undefined;
    if (!source) return undefined;
    onDecision(run, { kind: "goes_back_to_source", from: move.from.entry.id, detail });
    return source;
  };

  const dropIfClosed = (continuation: RunContinuation | undefined) =>
    continuation && deps.isHallClosed(continuation.server) ? undefined : continuation;

  const findContinuation = async (
    run: ActiveRun,
    detail: string,
  ): Promise<RunContinuation | undefined> => {
    const known = moves.get(run);
    const move = known ?? (await createMove(run, run.getServer()));
    move.isBroken = true;
    await confirmStopped(run, move);
    if (!known) await recoverInterrupted(run, move);
    return (
      dropIfClosed(takeCopy(run, move, detail)) ??
      dropIfClosed(await takeStopped(move)) ??
      dropIfClosed(takeSource(run, move, detail))
    );
  };

  return {
    onServerLeaving: (server) => {
      const begun = listRunsAt(server).filter((run) => run.hasBegun());
      if (begun.length > 0) void getPlan(server);
      for (const run of begun) void startMove(run, server);
    },
    onServerForgotten: (server) => void plans.delete(server.entry.id),
    onBegun: (run) => {
      const server = run.getServer();
      if (isLeaving(server)) void startMove(run, server);
    },
    findStop: stops.find,
    recover: async (run, detail) => {
      const continuation = await findContinuation(run, detail);
      const from = run.getServer().entry.id;
      if (!continuation) onDecision(run, { kind: "not_recovered", from, detail });
      return continuation;
    },
    onContinued: (run, outcome: ContinuationOutcome) => {
      if (outcome.kind !== "goes_on") return;
      endMove(run);
      stops.drop(run);
      const server = run.getServer();
      if (isLeaving(server)) void startMove(run, server);
    },
    onFinished: (run) => {
      endMove(run);
      stops.drop(run);
      deps.dropStandby(run);
    },
  };
};
