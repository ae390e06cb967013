/**
 * A stream as a pure state machine: frames and link events are its input, actions its output.
 *
 * Every token is delivered once, in order, from a single generation. A failed attempt may be
 * restarted with a new generation until the first token has been sent to the caller; afterwards,
 * only the same generation is resumed.
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

/** Position in a generation that was begun on another connection and that the caller continues. */
export type Continuation = Readonly<{
  server: BackendServerName;
  generation: GenerationId;
  nextIndex: number;
}>;

/** Options of a session. */
export type SessionOptions = Readonly<{
  /** Generates the id of each attempt's generation. */
  createGenerationId: () => GenerationId;
  /** Whether delivered tokens are sent to the caller at once, so that the answer can't be restarted after the first. */
  deliversAtOnce: boolean;
  /** Whether a new attempt is allowed after one that may have run. */
  mayRunAgain: boolean;
  /** Set if the caller continues a stream that was begun on another connection. */
  continuation?: Continuation;
}>;

/** The session of one stream. */
export type StreamSession = Readonly<{
  /** Applies an event and returns the actions that the caller of this function must perform, in order. */
  handle: (event: SessionEvent, now: Ms) => readonly SessionAction[];
  /** Index of the next token to deliver. */
  getNextIndex: () => number;
  /** Combined outcome of the attempts that were abandoned so far for a new one; excludes the current attempt. */
  getOutcomeSoFar: () => Outcome;
  /** Server and generation of the next token; undefined while the request is not placed. */
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
  let lastFrameAt = 0;
  const earlierOutcomes: Outcome[] = [];

  const isCommitted = () =>
    continuation !== undefined || (options.deliversAtOnce && next > 0);

  const openLink = (mode: LinkMode, delay: Ms, now: Ms): SessionAction => {
    if (!source) throw new TypeError("cannot open a link before the request is placed");
    link += 1;
    isLinkOpen = true;
    lastFrameAt = now + delay;
    return { kind: "openLink", link, mode, delay, ...source };
  };

  const fail = (cause: LinkFailure): SessionAction => {
    isOver = true;
    const outcome = combineOutcomes([
      ...earlierOutcomes,
      next > 0 ? "unknown" : toOutcome(cause),
    ]);
    return next > 0
      ? {
          kind: "fail",
          failure: { kind: "generation_lost", cause, delivered: next, outcome },
        }
      : { kind: "fail", failure: { kind: "attempts_exhausted", cause, outcome } };
  };

  const restart = (cause: LinkFailure): readonly SessionAction[] => {
    const lost = source;
    const outcome = next > 0 ? "unknown" : toOutcome(cause);
    const mayRepeat = options.mayRunAgain || outcome === "not_run";
    if (!lost || !mayRepeat || attempts >= MAX_ATTEMPTS) return [fail(cause)];
    earlierOutcomes.push(outcome);
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
    return isCommitted() ? [fail(cause)] : restart(cause);
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
        { kind: "garbage", detail: "tokens are missing before the end frame" },
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
    lastFrameAt = now;
    if (frame.kind === "heartbeat") return NO_ACTIONS;
    if (frame.generation !== source?.generation) {
      return [{ kind: "drop", reason: "wrong_generation" }];
    }
    if (frame.kind === "end") return handleEnd(frame, now);
    if (frame.index < next) return [{ kind: "drop", reason: "repeated" }];
    if (frame.index > next)
      return breakLink({ kind: "garbage", detail: "token index skips ahead" }, now);
    next += 1;
    resumesWithoutProgress = 0;
    return [{ kind: "deliver", index: frame.index, text: frame.text }];
  };

  const handlePlaced = (server: BackendServerName, now: Ms): readonly SessionAction[] => {
    attempts += 1;
    source = { server, generation: options.createGenerationId() };
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
    isLinkOpen && now - lastFrameAt >= LINK_SILENCE_MS
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
        lastFrameAt = now;
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
    getOutcomeSoFar: () => combineOutcomes(earlierOutcomes),
    getSource: () => source,
  };
};
