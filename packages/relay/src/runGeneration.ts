/** Runs one generation: applies the actions of its stream session to engine links and the sink. */
import { assertNever, type GenerationId, type Timer } from "@stairgauge/common";
import type { EngineLink } from "@stairgauge/engines";
import type { LinkFailure } from "@stairgauge/outcomes";
import {
  createStreamSession,
  type SessionAction,
  type SessionEvent,
} from "@stairgauge/streams";
import { PROGRESS_EVERY_TOKENS } from "./constants.js";
import type { Dispatcher } from "./dispatcher.js";
import type { RelayDeps, RunHandle, RunRequest, TokenSource } from "./types.js";

const MS_PER_SECOND = 1_000;

type OpenLinkAction = Extract<SessionAction, { kind: "openLink" }>;

/** A run as the relay sees it. */
export type Run = RunHandle &
  Readonly<{
    /** Lets the session check its link for silence; called every `TICK_MS`. */
    tick: () => void;
  }>;

/** Starts or continues a generation and passes its tokens to the sink until its end. */
export const runGeneration = (
  deps: RelayDeps &
    Readonly<{
      dispatcher: Dispatcher;
      /** Called once when the run is over; may be called before this function returns. */
      onOver: () => void;
      /** Address of a server by the newest bundle, for servers that the request's bundle lacks. */
      findNewerAddress: (server: string) => string | undefined;
    }>,
  request: RunRequest,
): Run => {
  const { clock, random, engines, logger, metrics, dispatcher } = deps;
  const { call, index, sink } = request;
  const session = createStreamSession({
    createGenerationId: () => random.nextId() as GenerationId,
    deliversAtOnce: request.deliversAtOnce,
    mayRunAgain: request.mayRunAgain,
    ...(request.continuation ? { continuation: request.continuation } : {}),
  });
  const arrivedAt = clock.monotonic();
  let link: EngineLink | undefined;
  let linkTimer: Timer | undefined;
  /** Whether the caller's connection accepts no more data for now. */
  let isBlocked = false;
  let isOver = false;
  let priority = 0;
  /** Time of the last token on the monotonic clock; 0 before the first. */
  let lastTokenAt = 0;
  /** Tokens that are not yet in the metrics and in a progress event. */
  let tokensSinceProgress = 0;

  const getAddress = (server: string): string =>
    index.servers.get(server)?.address ?? deps.findNewerAddress(server) ?? "";
  const send = (event: SessionEvent) => {
    for (const action of session.handle(event, clock.monotonic())) apply(action);
  };

  const finish = (isWhole: boolean) => {
    if (isOver) return;
    isOver = true;
    linkTimer?.cancel();
    recordTokenCount();
    dispatcher.end(call.id, session.getNextIndex(), isWhole);
    deps.onOver();
  };

  const recordTokenCount = () => {
    metrics.tokens.inc(tokensSinceProgress);
    tokensSinceProgress = 0;
  };
  const recordToken = () => {
    const now = clock.monotonic();
    if (lastTokenAt === 0) metrics.firstToken.observe((now - arrivedAt) / MS_PER_SECOND);
    else metrics.tokenGap.observe((now - lastTokenAt) / MS_PER_SECOND);
    lastTokenAt = now;
    tokensSinceProgress += 1;
    if (tokensSinceProgress < PROGRESS_EVERY_TOKENS) return;
    recordTokenCount();
    const generatedTokens = session.getNextIndex();
    dispatcher.handle({ kind: "progressed", request: call.id, generatedTokens });
  };

  const openLink = (action: OpenLinkAction) => {
    const { link: linkNumber, mode, server, generation } = action;
    const address = getAddress(server);
    const handlers = {
      onFrame: (frame: Extract<SessionEvent, { kind: "frame" }>["frame"]) =>
        send({ kind: "frame", link: linkNumber, frame }),
      onEnd: (failure: LinkFailure | undefined) => {
        if (failure) metrics.linkFailures.inc({ kind: failure.kind });
        send({ kind: "linkEnded", link: linkNumber, failure });
      },
    };
    link =
      mode.kind === "resume"
        ? engines.openResume(address, { generation, from: mode.from }, handlers)
        : engines.openStart(
            address,
            {
              generation,
              model: call.model,
              adapter: call.adapter,
              prompt: call.prompt,
              promptTokens: call.promptTokens,
              maxTokens: call.maxTokens,
              stop: call.stop,
              temperature: call.temperature,
              priority,
              detachGraceMs: deps.resumeGrace,
            },
            handlers,
          );
    if (isBlocked) link.pause();
  };

  const scheduleLink = (action: OpenLinkAction) => {
    if (action.mode.kind === "resume") {
      const { server, generation, mode } = action;
      const fields = {
        decision: "resumed",
        request: call.id,
        server,
        generation,
        from: mode.from,
      };
      logger.info({ ...fields, delay: action.delay }, "decision: resumed");
    }
    if (action.delay === 0) openLink(action);
    else linkTimer = clock.setTimer(action.delay, () => openLink(action));
  };

  const closeLink = () => {
    linkTimer?.cancel();
    link?.close();
    link = undefined;
  };

  const cancelGeneration = async (source: TokenSource, onlyIfDetached: boolean) => {
    const { generation } = source;
    const result = await engines.cancel(getAddress(source.server), {
      generation,
      onlyIfDetached,
    });
    if (result.err)
      logger.debug(
        { generation, failure: result.val },
        "could not cancel the generation",
      );
  };

  const apply = (action: SessionAction) => {
    switch (action.kind) {
      case "deliver": {
        recordToken();
        const source = session.getSource();
        if (source && !sink.onToken(action.index, action.text, source)) setBlocked(true);
        return;
      }
      case "finish": {
        const source = session.getSource();
        finish(true);
        if (source) sink.onEnd(action.end, source);
        return;
      }
      case "fail":
        finish(false);
        sink.onFailed(action.failure);
        return;
      case "drop":
        metrics.droppedFrames.inc({ reason: action.reason });
        return;
      case "discard":
        sink.onDiscard();
        return;
      case "openLink":
        scheduleLink(action);
        return;
      case "closeLink":
        closeLink();
        return;
      case "requestPlacement":
        dispatcher.handle({
          kind: "attemptFailed",
          request: call.id,
          server: action.failedServer,
          isLeaving: action.cause.kind === "refused" && action.cause.isLeaving,
        });
        return;
      case "cancelGeneration":
        void cancelGeneration(action, false);
        return;
      case "orphanGeneration":
        clock.setTimer(deps.resumeGrace, () => void cancelGeneration(action, true));
        return;
      default:
        assertNever(action);
    }
  };

  const setBlocked = (value: boolean) => {
    if (isBlocked === value || isOver) return;
    isBlocked = value;
    if (value) {
      link?.pause();
      return;
    }
    send({ kind: "readerResumed" });
    link?.resume();
  };

  const start = () => {
    if (request.continuation) {
      send({ kind: "continued" });
      return;
    }
    dispatcher.submit(
      {
        id: call.id,
        workspace: call.workspace,
        model: call.model,
        promptTokens: call.promptTokens,
        maxOutputTokens: call.maxTokens,
        arrivedAt,
      },
      {
        onPlaced: (server, chosenPriority) => {
          priority = chosenPriority;
          send({ kind: "placed", server });
        },
        onRefused: (refusal) => {
          finish(false);
          sink.onRefused({ ...refusal, outcome: session.getOutcomeSoFar() });
        },
      },
    );
  };

  start();
  return {
    leave: () => {
      if (isOver) return;
      send({ kind: "callerGone" });
      finish(false);
    },
    setBlocked,
    tick: () => {
      if (!isBlocked && !isOver) send({ kind: "ticked" });
    },
  };
};
