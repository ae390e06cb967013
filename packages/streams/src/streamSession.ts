/**
 * The life of one stream, as a pure state machine: frames and link events in, actions out.
 *
 * Every token is delivered once, in order, from one generation. Before the first token has left
 * a failed attempt may start anew with a new generation; after it, only the same generation is
 * resumed.
 */
import {
  assertNever,
  type BackendServerName,
  type GenerationId,
  type Ms,
} from "@stairgauge/common";
import {
  combineOutcomes,
  toOutcome,
  type LinkFailure,
  type Outcome,
} from "@stairgauge/outcomes";
import {
  LINK_SILENCE_MS,
  MAX_ATTEMPTS,
  MAX_RESUME_BACKOFF_MS,
  MAX_RESUMES_WITHOUT_PROGRESS,
  RESUME_BACKOFF_MS,
} from "./constants.js";
import type { EngineFrame, LinkMode, SessionAction, SessionEvent } from "./types.js";

/** An earlier generation that a caller continues. */
export type Continuation = Readonly<{
  server: BackendServerName;
  generation: GenerationId;
  nextIndex: number;
}>;

/** How a session behaves. */
export type SessionOptions = Readonly<{
  /** Mints the id of each attempt's generation. */
  mintGeneration: () => GenerationId;
  /** Whether delivered tokens leave at once, so that the answer cannot start anew. */
  deliversAtOnce: boolean;
  /** Whether an attempt that may have run may be followed by another. */
  mayRunAgain: boolean;
  /** Set when a caller continues a stream that another connection began. */
  continuation?: Continuation;
}>;

/** A running session. */
export type StreamSession = Readonly<{
  /** Applies one event and returns what the shell must do, in order. */
  handle: (event: SessionEvent, now: Ms) => readonly SessionAction[];
  /** Index of the next token to deliver. */
  getNextIndex: () => number;
  /** What may be said of all attempts that have failed so far, if there is no other. */
  getOutcomeSoFar: () => Outcome;
  /** Generation and server that the next token comes from, once placed. */
  getSource: () =>
    Readonly<{ server: BackendServerName; generation: GenerationId }> | undefined;
}>;

type Source = Readonly<{ server: BackendServerName; generation: GenerationId }>;

const NO_ACTIONS: readonly SessionAction[] = [];

const computeBackoff = (resumes: number): Ms =>
  resumes <= 1
    ? (0 as Ms)
    : (Math.min(MAX_RESUME_BACKOFF_MS, RESUME_BACKOFF_MS * 2 ** (resumes - 2)) as Ms);

/** Creates the session of one request. */
export const createStreamSession = (options: SessionOptions): StreamSession => {
  const { continuation } = options;
  let source: Source | undefined = continuation;
  let next = continuation?.nextIndex ?? 0;
  let link = 0;
  let isLinkOpen = false;
  let isOver = false;
  let attempts = 0;
  let resumesWithoutProgress = 0;
  let lastHeardAt = 0;
  const earlier: Outcome[] = [];

  const isCommitted = () =>
    continuation !== undefined || (options.deliversAtOnce && next > 0);

  const openLink = (mode: LinkMode, delay: Ms, now: Ms): SessionAction => {
    if (!source) throw new TypeError("a link needs a placed generation");
    link += 1;
    isLinkOpen = true;
    lastHeardAt = now + delay;
    return { kind: "openLink", link, mode, delay, ...source };
  };

  const fail = (cause: LinkFailure): SessionAction => {
    isOver = true;
    const outcome = combineOutcomes([
      ...earlier,
      next > 0 ? "unknown" : toOutcome(cause),
    ]);
    return next > 0
      ? {
          kind: "fail",
          failure: { kind: "generation_lost", cause, delivered: next, outcome },
        }
      : { kind: "fail", failure: { kind: "attempts_exhausted", cause, outcome } };
  };

  const startAnew = (cause: LinkFailure): readonly SessionAction[] => {
    const lost = source;
    const outcome = next > 0 ? "unknown" : toOutcome(cause);
    const mayRepeat = options.mayRunAgain || outcome === "not_run";
    if (!lost || !mayRepeat || attempts >= MAX_ATTEMPTS) return [fail(cause)];
    earlier.push(outcome);
    source = undefined;
    next = 0;
    resumesWithoutProgress = 0;
    const cancel: readonly SessionAction[] =
      outcome === "not_run" ? [] : [{ kind: "cancelGeneration", ...lost }];
    return [
      ...cancel,
      { kind: "discard" },
      { kind: "requestPlacement", cause, failedServer: lost.server },
    ];
  };

  const canResume = (cause: LinkFailure): boolean =>
    cause.kind !== "generation_gone" &&
    resumesWithoutProgress < MAX_RESUMES_WITHOUT_PROGRESS;

  const recover = (cause: LinkFailure, now: Ms): readonly SessionAction[] => {
    isLinkOpen = false;
    const hasProgress = next > 0 || continuation !== undefined;
    if (hasProgress && canResume(cause)) {
      resumesWithoutProgress += 1;
      return [
        openLink(
          { kind: "resume", from: next },
          computeBackoff(resumesWithoutProgress),
          now,
        ),
      ];
    }
    return isCommitted() ? [fail(cause)] : startAnew(cause);
  };

  const breakLink = (cause: LinkFailure, now: Ms): readonly SessionAction[] => {
    const broken: SessionAction = { kind: "closeLink", link };
    return [broken, ...recover(cause, now)];
  };

  const handleEnd = (
    frame: Extract<EngineFrame, { kind: "end" }>,
    now: Ms,
  ): readonly SessionAction[] => {
    if (frame.tokens > next) {
      return breakLink(
        { kind: "garbage", detail: "tokens are missing before the end" },
        now,
      );
    }
    isOver = true;
    isLinkOpen = false;
    if (frame.tokens < next) {
      const failure = {
        kind: "token_count_mismatch",
        announced: frame.tokens,
        delivered: next,
        outcome: "unknown",
      } as const;
      return [
        { kind: "closeLink", link },
        { kind: "fail", failure },
      ];
    }
    const { reason, tokens, promptTokens } = frame;
    return [{ kind: "finish", end: { reason, tokens, promptTokens } }];
  };

  const handleFrame = (
    from: number,
    frame: EngineFrame,
    now: Ms,
  ): readonly SessionAction[] => {
    if (from !== link || !isLinkOpen) return [{ kind: "drop", reason: "stale_link" }];
    lastHeardAt = now;
    if (frame.kind === "heartbeat") return NO_ACTIONS;
    if (frame.generation !== source?.generation) {
      return [{ kind: "drop", reason: "wrong_generation" }];
    }
    if (frame.kind === "end") return handleEnd(frame, now);
    if (frame.index < next) return [{ kind: "drop", reason: "repeated" }];
    if (frame.index > next)
      return breakLink({ kind: "garbage", detail: "token gap" }, now);
    next += 1;
    resumesWithoutProgress = 0;
    return [{ kind: "deliver", index: frame.index, text: frame.text }];
  };

  const handlePlaced = (server: BackendServerName, now: Ms): readonly SessionAction[] => {
    attempts += 1;
    source = { server, generation: options.mintGeneration() };
    return [openLink({ kind: "start" }, 0 as Ms, now)];
  };

  const handleCallerGone = (): readonly SessionAction[] => {
    isOver = true;
    const close: readonly SessionAction[] = isLinkOpen
      ? [{ kind: "closeLink", link }]
      : [];
    isLinkOpen = false;
    if (!source) return close;
    const kind = isCommitted() ? "orphanGeneration" : "cancelGeneration";
    return [...close, { kind, ...source }];
  };

  const handleTick = (now: Ms): readonly SessionAction[] =>
    isLinkOpen && now - lastHeardAt >= LINK_SILENCE_MS
      ? breakLink({ kind: "silent" }, now)
      : NO_ACTIONS;

  const handle = (event: SessionEvent, now: Ms): readonly SessionAction[] => {
    if (event.kind === "frame") {
      return isOver
        ? [{ kind: "drop", reason: "stale_link" }]
        : handleFrame(event.link, event.frame, now);
    }
    if (isOver) return NO_ACTIONS;
    switch (event.kind) {
      case "placed":
        return handlePlaced(event.server, now);
      case "continued":
        return [openLink({ kind: "resume", from: next }, 0 as Ms, now)];
      case "linkEnded":
        if (event.link !== link || !isLinkOpen) return NO_ACTIONS;
        return recover(
          event.failure ?? { kind: "closed_early", detail: "no end frame" },
          now,
        );
      case "ticked":
        return handleTick(now);
      case "readerResumed":
        lastHeardAt = now;
        return NO_ACTIONS;
      case "callerGone":
        return handleCallerGone();
      default:
        return assertNever(event);
    }
  };

  return {
    handle,
    getNextIndex: () => next,
    getOutcomeSoFar: () => combineOutcomes(earlier),
    getSource: () => source,
  };
};
