/**
 * Moves the runs of an engine that leaves to other engines: a copy while the run goes on, then the rest.
 *
 * The stream itself is switched by the forwarder, which asks `recover` where a run goes on once its
 * server has ended the stream.
 */
import type { Clock, Ms } from "@stairgauge/common";
import type { BackendServer, ServerAddress } from "@stairgauge/directory";
import type {
  ActiveRun,
  ContinuationOutcome,
  RunContinuation,
  RunKeeper,
} from "@stairgauge/forwarding";
import type { CopyAnswer, EngineActions } from "./types.js";

/** A step of a move; each is logged as one line. */
export type MoveDecision = Readonly<
  | { kind: "move_begun"; from: string; to: string; tokens: number }
  | { kind: "copied"; from: string; to: string; took: Ms }
  | { kind: "stopped"; from: string; to: string; took: Ms }
  | { kind: "copy_failed"; from: string; to: string; detail: string }
  | { kind: "no_target"; from: string }
  | { kind: "goes_on_from_copy"; from: string; to: string; detail: string }
  | { kind: "not_recovered"; from: string; detail: string }
>;

/** What the mover needs. */
export type RunMoverDeps = Readonly<{
  clock: Clock;
  actions: EngineActions;
  /** Engines that may take a run of this many tokens, best first. */
  listTargets: (run: ActiveRun) => readonly BackendServer[];
  listRunsAt: (server: BackendServer) => readonly ActiveRun[];
  /** Notes tokens at a target until the returned function is called. */
  reserve: (target: BackendServer, run: ActiveRun) => () => void;
  onDecision: (run: ActiveRun, decision: MoveDecision) => void;
}>;

/** A copy that lies at its target. */
type Copy = Readonly<{ source: ServerAddress; target: BackendServer; handle: string }>;

type Move = {
  readonly from: BackendServer;
  target: BackendServer;
  copy: Copy | undefined;
  /** The last part is being copied; resolves with where the run goes on. */
  stopping: Promise<RunContinuation | undefined> | undefined;
  release: () => void;
  failures: number;
};

/** Longest that a copy may take; an engine that leaves is gone by then. */
const COPY_LIMIT_MS = 3_000 as Ms;

/** Targets tried for one move. */
const MAX_TARGETS = 3;

/** Keeps runs alive across their engines. */
export type RunMover = RunKeeper &
  Readonly<{
    /** An engine gets no new work: its runs begin to move. */
    onServerLeaving: (server: BackendServer) => void;
  }>;

/** Creates the mover. */
export const createRunMover = (deps: RunMoverDeps): RunMover => {
  const { clock, actions, listTargets, listRunsAt, reserve, onDecision } = deps;
  const moves = new Map<ActiveRun, Move>();

  const describe = (answer: CopyAnswer) =>
    answer.kind === "no_answer" ? `no answer: ${answer.detail}` : answer.kind;

  const endMove = (run: ActiveRun) => {
    moves.get(run)?.release();
    moves.delete(run);
  };

  const copyOnce = async (run: ActiveRun, move: Move, isLast: boolean) => {
    const begunAt = clock.monotonic();
    const answer = await actions.copyRun({
      source: move.from.entry.address,
      target: move.target.entry.address,
      id: run.id,
      isLast,
      limit: COPY_LIMIT_MS,
    });
    const took = (clock.monotonic() - begunAt) as Ms;
    const from = move.from.entry.id;
    const to = move.target.entry.id;
    if (answer.kind === "copied")
      onDecision(run, { kind: isLast ? "stopped" : "copied", from, to, took });
    else onDecision(run, { kind: "copy_failed", from, to, detail: describe(answer) });
    return answer;
  };

  const stopAtSource = async (
    run: ActiveRun,
    move: Move,
  ): Promise<RunContinuation | undefined> => {
    const source = move.from.entry.address;
    const answer = await copyOnce(run, move, true);
    switch (answer.kind) {
      case "copied":
        return { server: move.target, memory: { source, handle: answer.handle } };
      case "no_room":
        // The run was stopped and its memory lies at its source: it goes on there.
        return answer.handle === undefined
          ? undefined
          : { server: move.from, memory: { source, handle: answer.handle } };
      case "no_such_run":
      case "under_way":
      case "no_answer":
        return undefined;
    }
  };

  const attemptTargets = async (run: ActiveRun, move: Move): Promise<void> => {
    const targets = listTargets(run).slice(0, MAX_TARGETS);
    for (const target of targets) {
      if (moves.get(run) !== move) return;
      move.release();
      move.target = target;
      move.release = reserve(target, run);
      const from = move.from.entry.id;
      onDecision(run, {
        kind: "move_begun",
        from,
        to: target.entry.id,
        tokens: run.getTokens(),
      });
      const answer = await copyOnce(run, move, false);
      if (moves.get(run) !== move) return;
      if (answer.kind === "copied") {
        const { handle } = answer;
        move.copy = { source: move.from.entry.address, target, handle };
        move.stopping = stopAtSource(run, move);
        return;
      }
      if (answer.kind !== "no_room") return;
    }
    onDecision(run, { kind: "no_target", from: move.from.entry.id });
  };

  const startMove = async (run: ActiveRun, from: BackendServer) => {
    if (moves.has(run)) return;
    const move: Move = {
      from,
      target: from,
      copy: undefined,
      stopping: undefined,
      release: () => undefined,
      failures: 0,
    };
    moves.set(run, move);
    await attemptTargets(run, move);
  };

  const continueFromCopy = (
    run: ActiveRun,
    move: Move,
    detail: string,
  ): RunContinuation | undefined => {
    const { copy } = move;
    if (!copy) return undefined;
    move.copy = undefined;
    const from = move.from.entry.id;
    const to = copy.target.entry.id;
    onDecision(run, { kind: "goes_on_from_copy", from, to, detail });
    return { server: copy.target, memory: { source: copy.source, handle: copy.handle } };
  };

  return {
    onServerLeaving: (server) => {
      for (const run of listRunsAt(server))
        if (run.hasBegun()) void startMove(run, server);
    },
    onBegun: (run) => {
      const server = run.getServer();
      if (server.leaving) void startMove(run, server);
    },
    recover: async (run, detail) => {
      const move = moves.get(run);
      const from = run.getServer().entry.id;
      if (!move) {
        onDecision(run, { kind: "not_recovered", from, detail });
        return undefined;
      }
      const { stopping } = move;
      move.stopping = undefined;
      const stopped = await stopping;
      if (stopped) {
        move.copy = undefined;
        return stopped;
      }
      const copied = continueFromCopy(run, move, detail);
      if (!copied) onDecision(run, { kind: "not_recovered", from, detail });
      return copied;
    },
    onContinued: (run, outcome: ContinuationOutcome) => {
      if (outcome.kind !== "goes_on") return;
      endMove(run);
      const server = run.getServer();
      if (server.leaving) void startMove(run, server);
    },
    onFinished: endMove,
  };
};
