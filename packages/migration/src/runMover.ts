/**
 * Moves the runs of an engine that leaves to other engines.
 *
 * Each run is copied while it goes on, then stopped, and goes on at once from its copy: what the copy
 * lacks is read anew there, which takes less time than the rest would wait for the link. An engine that ends
 * before leaves a copy from which the run goes on all the same. The stream itself is switched by the
 * forwarder, which asks `recover` where a run goes on once its server has ended the stream.
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
import type { Standby } from "./standbyKeeper.js";
import type { CopyAnswer, EngineActions } from "./types.js";

/** A step of a move; each is logged as one line. */
export type MoveDecision = Readonly<
  | { kind: "move_begun"; from: string; to: string; tokens: number }
  | { kind: "copied"; from: string; to: string; took: Ms; handle: string }
  | { kind: "stopped"; from: string; to: string; took: Ms; handle: string }
  | { kind: "copy_failed"; from: string; to: string; detail: string }
  | { kind: "no_target"; from: string }
  | { kind: "goes_on_from_copy"; from: string; to: string; detail: string }
  | { kind: "goes_back_to_source"; from: string; detail: string }
  | { kind: "not_recovered"; from: string; detail: string }
>;

/** What the mover needs. */
export type RunMoverDeps = Readonly<{
  clock: Clock;
  actions: EngineActions;
  findServer: (id: ServerId) => BackendServer | undefined;
  listRunsAt: (server: BackendServer) => readonly ActiveRun[];
  isLeaving: (server: BackendServer) => boolean;
  /** Whether a server may be sent the run, were it new. */
  mayTake: (server: BackendServer, run: ActiveRun) => boolean;
  /** Whether a server's data hall is closed to new work: a run that was stopped there cannot go on there either. */
  isHallClosed: (server: BackendServer) => boolean;
  /** Asks a leaving engine and plans what its runs are to do. */
  makePlan: (server: BackendServer) => Promise<EvacuationPlan>;
  /** Targets for one run by what is known now, best first. */
  rankNow: (server: BackendServer, run: ActiveRun) => Promise<readonly ServerId[]>;
  /** A copy of the run that was kept in case its engine goes. */
  takeStandby: (run: ActiveRun) => Promise<Standby | undefined>;
  dropStandby: (run: ActiveRun) => void;
  /** Notes tokens at a target until the returned function is called. */
  reserve: (target: BackendServer, run: ActiveRun) => () => void;
  onDecision: (run: ActiveRun, decision: MoveDecision) => void;
}>;

type Move = {
  readonly from: BackendServer;
  release: () => void;
  /** A copy that lies at its target. */
  copy: RunContinuation | undefined;
  /** The last part is being copied; resolves with where the run goes on. */
  stopping: Promise<RunContinuation | undefined> | undefined;
  /** The stopped run at its source, for a target that takes it back. */
  source: RunContinuation | undefined;
};

/** Longest that a copy may take; an engine that leaves is gone by then. */
const COPY_LIMIT_MS = 3_000 as Ms;

/** Longest that an engine which broke a stream off is waited for, to be sure that the run has stopped there. */
const STOP_LIMIT_MS = 250 as Ms;

/** Targets tried for one move before the rest is looked at anew. */
const MAX_TARGETS = 3;

/** Rounds of targets for one move, and the pause between them: runs end and servers come all the time. */
const MAX_ROUNDS = 8;
const ROUND_PAUSE_MS = 150;

/** Keeps runs alive across their engines. */
export type RunMover = RunKeeper &
  Readonly<{
    /** An engine gets no new work: its runs begin to move. */
    onServerLeaving: (server: BackendServer) => void;
    /** An engine is forgotten. */
    onServerForgotten: (server: BackendServer) => void;
  }>;

const describeAnswer = (answer: CopyAnswer): string =>
  answer.kind === "no_answer" ? `no answer: ${answer.detail}` : answer.kind;

/** Creates the mover. */
export const createRunMover = (deps: RunMoverDeps): RunMover => {
  const { clock, actions, listRunsAt, isLeaving, reserve, onDecision } = deps;
  const moves = new Map<ActiveRun, Move>();
  const plans = new Map<ServerId, Promise<EvacuationPlan>>();

  const dropMove = (move: Move) => {
    move.release();
    // A copy that nobody will go on from takes memory at its target until it lapses.
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

  const getPlan = (server: BackendServer): Promise<EvacuationPlan> => {
    const { id } = server.entry;
    const plan = plans.get(id) ?? deps.makePlan(server);
    plans.set(id, plan);
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
      limit?: Ms;
    }>,
  ): Promise<CopyAnswer> => {
    const { from, target, isLast, limit = COPY_LIMIT_MS } = request;
    const begunAt = clock.monotonic();
    const answer = await actions.copyRun({
      source: from.entry.address,
      target: target.entry.address,
      id: run.id,
      isLast,
      limit,
    });
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
    // A run that was stopped without room at its target lies at its source, and goes on there.
    if (answer.kind === "no_room" && answer.handle !== undefined)
      return makeContinuation(from, address, answer.handle);
    return undefined;
  };

  /**
   * Copies the run to a target and stops it there; false when the target has no room. A run whose stop is refused
   * goes on at its source until that ends, and then from its copy: a copy elsewhere would make this one void.
   */
  const attemptMove = async (run: ActiveRun, move: Move, target: BackendServer) => {
    const { from } = move;
    move.release();
    move.release = reserve(target, run);
    const names = { from: from.entry.id, to: target.entry.id };
    onDecision(run, { kind: "move_begun", ...names, tokens: run.getTokens() });
    const copied = await copyOnce(run, { from, target, isLast: false });
    if (copied.kind !== "copied")
      return copied.kind !== "no_room" && copied.kind !== "under_way";
    if (!isCurrent(run, move)) {
      // The run ended meanwhile: its copy would take memory until it lapses.
      void actions.dropCopy(from.entry.address, copied.handle);
      return true;
    }
    move.copy = makeContinuation(target, from.entry.address, copied.handle);
    move.stopping = stopAtSource(run, move, target);
    return true;
  };

  const isOpenTo = (
    run: ActiveRun,
    target: BackendServer | undefined,
  ): target is BackendServer => target !== undefined && deps.mayTake(target, run);

  /** Tries targets in turn; true when the move needs no further ones. */
  const attemptEach = async (
    run: ActiveRun,
    move: Move,
    targets: readonly ServerId[],
  ) => {
    const open = targets.filter((id) => isOpenTo(run, deps.findServer(id)));
    for (const id of open.slice(0, MAX_TARGETS)) {
      const target = deps.findServer(id);
      if (!isCurrent(run, move)) return true;
      if (!isOpenTo(run, target)) continue;
      if (await attemptMove(run, move, target)) return true;
    }
    return false;
  };

  /** Brings a copy that is there already up to date, and stops the run. */
  const stopAtCopy = async (run: ActiveRun, move: Move, target: BackendServer) => {
    const { from } = move;
    await copyOnce(run, { from, target, isLast: false });
    if (isCurrent(run, move) && move.copy)
      move.stopping = stopAtSource(run, move, target);
  };

  const attemptTargets = async (run: ActiveRun, move: Move): Promise<void> => {
    const plan = (await getPlan(move.from)).planRun(run.id, run.getTokens());
    await waitUntil(plan.copyAt);
    if (!isCurrent(run, move)) return;
    if (move.copy) {
      await stopAtCopy(run, move, move.copy.server);
      return;
    }
    let { targets } = plan;
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      if (await attemptEach(run, move, targets)) return;
      onDecision(run, { kind: "no_target", from: move.from.entry.id });
      await waitUntil(clock.monotonic() + ROUND_PAUSE_MS);
      if (!isCurrent(run, move)) return;
      targets = await deps.rankNow(move.from, run);
      if (!isCurrent(run, move)) return;
    }
  };

  /** Begins the move of a run, from the copy that was kept of it if there is one. */
  const createMove = async (run: ActiveRun, from: BackendServer): Promise<Move> => {
    const move: Move = {
      from,
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
    // A stream that a new run may go on with needs no memory moved.
    if (run.route.isResumable || moves.has(run)) return;
    await attemptTargets(run, await createMove(run, from));
  };

  /** An engine may have lost only its connection: the run must not go on in two places. A dead one refuses at once. */
  const confirmStopped = async (run: ActiveRun, move: Move) => {
    if (!move.copy || move.stopping) return;
    await stopAtSource(run, move, move.copy.server, STOP_LIMIT_MS);
  };

  const takeCopy = (run: ActiveRun, move: Move, detail: string) => {
    const { copy } = move;
    move.copy = undefined;
    if (!copy) return undefined;
    const from = move.from.entry.id;
    const to = copy.server.entry.id;
    onDecision(run, { kind: "goes_on_from_copy", from, to, detail });
    return copy;
  };

  const takeStopped = (move: Move) => {
    const { stopping } = move;
    move.stopping = undefined;
    return stopping;
  };

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
    const move = moves.get(run) ?? (await createMove(run, run.getServer()));
    await confirmStopped(run, move);
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
    recover: async (run, detail) => {
      const found = await findContinuation(run, detail);
      const from = run.getServer().entry.id;
      if (!found) onDecision(run, { kind: "not_recovered", from, detail });
      return found;
    },
    onContinued: (run, outcome: ContinuationOutcome) => {
      if (outcome.kind !== "goes_on") return;
      endMove(run);
      const server = run.getServer();
      if (isLeaving(server)) void startMove(run, server);
    },
    onFinished: (run) => {
      endMove(run);
      deps.dropStandby(run);
    },
  };
};
