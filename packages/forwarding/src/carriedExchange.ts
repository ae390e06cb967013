/**
 * Sends one request to a server by way of another box, after this box has lost its own path. Boxes are
 * asked in turn until one has connected to the server; from then on the request may have run, and it is
 * offered to no other box.
 */
import { assertNever, type BoxName, type Clock, type Ms } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import {
  CARRIER_ANSWER_MS,
  MAX_CARRIED_BODY_BYTES,
  MAX_OFFERS,
  type CallCarrier,
  type Carriers,
  type CarryCall,
  type CarryFrame,
  type ServerPaths,
} from "@stairgauge/paths";
import type { AnswerExcess } from "./answerLimits.js";
import type { Exchange, ExchangeRequest, ExchangeSink } from "./openExchange.js";
import { assertSendable, attemptMake } from "./unsendable.js";

/** A step of a carried request; each is logged as one line. */
export type CarryEvent = Readonly<
  | { kind: "carried"; server: string; carrier: BoxName }
  | { kind: "carrier_passed_over"; server: string; carrier: BoxName; reason: string }
  /** The link to the carrier broke before the answer was complete. */
  | { kind: "carrier_lost"; server: string; carrier: BoxName; detail: string }
  /** A carried answer exceeds a limit; its carrier is told to end it. */
  | (AnswerExcess & { kind: "answer_over_limit"; server: string })
  /** A request could not be built, or a carrier could not send it; no box was blamed. */
  | { kind: "call_unsendable"; server: string; detail: string }
>;

/** Dependencies of carried requests. */
export type CarriedExchangeDeps = Readonly<{
  clock: Clock;
  paths: Pick<ServerPaths, "recordCarried" | "countUnreachedAllowed">;
  carriers: Carriers;
  callCarrier: CallCarrier;
  onEvent: (event: CarryEvent) => void;
}>;

/** Why no box carried a request: `unreached` is the failure of a carrier that could not connect either. */
export type NotCarried = Readonly<{ unreached: string | undefined }>;

/** A request to be carried. */
export type CarriedRequest = Readonly<{
  server: BackendServer;
  isNewWork: boolean;
  /** Builds the request anew for each box that is asked, with the time that is left then. */
  build: () => ExchangeRequest;
  sink: ExchangeSink;
  /** No box has carried the request; nothing was sent. */
  onNotCarried: (failure: NotCarried) => void;
}>;

/** Opens the exchange. */
export const openCarriedExchange = (
  deps: CarriedExchangeDeps,
  { server, isNewWork, build, sink, onNotCarried }: CarriedRequest,
): Exchange => {
  const { clock, paths, carriers, callCarrier, onEvent } = deps;
  const { id } = server.entry;
  const tried = new Set<BoxName>();
  let unreachedDetails: readonly string[] = [];
  let isOver = false;
  let isAsked = false;
  let call: CarryCall | undefined;
  let stopAsking = () => {};

  const finish = (): boolean => {
    if (isOver) return false;
    isOver = true;
    stopAsking();
    return true;
  };
  const failToCarry = () => {
    if (finish()) onNotCarried({ unreached: unreachedDetails.at(-1) });
  };

  const failUnsendable = (detail: string) => {
    if (!finish()) return;
    isAsked = false;
    onEvent({ kind: "call_unsendable", server: id, detail });
    sink.onFailure({ kind: "unsendable", detail });
  };

  const askNext = () => {
    stopAsking();
    isAsked = false;
    const isEnough =
      tried.size >= MAX_OFFERS ||
      unreachedDetails.length >= paths.countUnreachedAllowed();
    const carrier = isEnough ? undefined : carriers.choose(id, tried);
    if (carrier === undefined) failToCarry();
    else askCarrier(carrier);
  };
  const passOver = (carrier: BoxName, reason: string) => {
    if (reason === "path_lost") carriers.recordPathLost(carrier, id);
    else carriers.recordRefused(carrier, id);
    onEvent({ kind: "carrier_passed_over", server: id, carrier, reason });
    askNext();
  };

  const handleFrame = (carrier: BoxName, frame: CarryFrame) => {
    switch (frame.kind) {
      case "refused":
        if (frame.reason === "unsendable")
          failUnsendable("the carrier could not send the request");
        else passOver(carrier, frame.reason);
        return;
      case "unreached":
        unreachedDetails = [...unreachedDetails, frame.detail];
        passOver(carrier, `unreached: ${frame.detail}`);
        return;
      case "connected":
        paths.recordCarried(server.entry, carrier);
        onEvent({ kind: "carried", server: id, carrier });
        sink.onCarried?.(carrier);
        return;
      case "head":
        sink.onHead(frame.status, frame.headers, frame.reason);
        return;
      case "data":
        sink.onData(frame.bytes);
        return;
      case "ended":
        if (finish()) sink.onEnd(frame.by);
        return;
      case "failed":
        if (finish()) sink.onFailure({ kind: frame.as, detail: frame.detail });
        return;
      default:
        assertNever(frame);
    }
  };
  const loseCarrier = (carrier: BoxName, detail: string) => {
    carriers.recordSilent(carrier);
    onEvent({ kind: "carrier_lost", server: id, carrier, detail });
    if (finish()) sink.onFailure({ kind: "carrier_lost", detail });
  };

  const askCarrier = (carrier: BoxName) => {
    tried.add(carrier);
    const built = attemptMake(() => {
      const request = build();
      assertSendable(request);
      return request;
    });
    if (built.err) {
      failUnsendable(built.val.detail);
      return;
    }
    const { method, target, headers, body } = built.val;
    if (body.length > MAX_CARRIED_BODY_BYTES) {
      failToCarry();
      return;
    }
    let isCurrent = true;
    const release = carriers.begin(carrier);
    const silenceTimer = clock.setTimeLimit(CARRIER_ANSWER_MS, () => {
      carriers.recordSilent(carrier);
      onEvent({ kind: "carrier_passed_over", server: id, carrier, reason: "silent" });
    });
    const question = { server: id, isNewWork, method, target, headers, body };
    const begun = attemptMake(() =>
      callCarrier(carrier, question, {
        onFrame: (frame) => {
          silenceTimer.cancel();
          if (isCurrent && !isOver) handleFrame(carrier, frame);
        },
        onEnd: (detail) => {
          if (isCurrent && !isOver) loseCarrier(carrier, detail ?? "ended early");
        },
      }),
    );
    stopAsking = () => {
      isCurrent = false;
      silenceTimer.cancel();
      release();
      if (begun.ok) begun.val?.cancel();
    };
    // A link that was closed this moment throws.
    if (begun.err || !begun.val) {
      passOver(carrier, "no_link");
      return;
    }
    call = begun.val;
    isAsked = true;
  };
  // Callers expect no callback before they have the exchange.
  const firstAsk = clock.setTimer(0 as Ms, () => {
    if (!isOver) askNext();
  });

  const cancel = () => {
    firstAsk.cancel();
    finish();
  };
  return {
    cancel,
    cancelFor: (excess) => {
      if (isOver) return;
      onEvent({ kind: "answer_over_limit", server: id, ...excess });
      cancel();
    },
    pause: () => call?.pause(),
    resume: () => call?.resume(),
    isSent: () => isAsked,
  };
};
