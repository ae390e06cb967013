/** Handles the signals that a server's answer carries about the server itself. */
import type { Ms } from "@stairgauge/common";
import type { Attempt } from "./attempt.js";
import type { ForwarderDeps } from "./forwarderTypes.js";
import type { Placer } from "./placer.js";
import type { AnswerHead, ClientRequestId } from "./types.js";

/** Receivers of the signals. */
export type SignalListener = Pick<ForwarderDeps, "dispatchSignals"> &
  Readonly<{ placer: Pick<Placer, "onAnswered"> }>;

/** The answered attempt and the id of its request. */
export type AnsweredAttempt = Pick<Attempt, "server" | "openedAt" | "answeredAt"> &
  Readonly<{ request: ClientRequestId | undefined }>;

/** Passes the signals of an answer on; those of another server at the address are ignored. */
export const recordServerSignals = (
  { placer, dispatchSignals }: SignalListener,
  { server, request, openedAt, answeredAt = openedAt }: AnsweredAttempt,
  { isOtherServer, status, signals }: AnswerHead,
): void => {
  placer.onAnswered(server);
  if (isOtherServer) return;
  const sentAgo = (answeredAt - openedAt) as Ms;
  dispatchSignals({
    server,
    signals,
    source: { kind: "request", request, status, sentAgo },
  });
};
