/** Takes what a backend server says of itself in the head of an answer. */
import type { Ms } from "@stairgauge/common";
import type { Attempt } from "./attempt.js";
import type { ForwarderDeps, Placer } from "./forwarderTypes.js";
import type { AnswerHead, ClientRequestId } from "./types.js";

/** Who hears it. */
export type SignListener = Pick<ForwarderDeps, "dispatchSignals"> &
  Readonly<{ placer: Pick<Placer, "onAnswered"> }>;

/** The attempt that was answered, and the request that it is one of. */
export type AnsweredAttempt = Pick<Attempt, "server" | "openedAt" | "answeredAt"> &
  Readonly<{ request: ClientRequestId | undefined }>;

/** Tells what the head of an attempt's answer says of the server; another one at its address says nothing of it. */
export const recordServerSigns = (
  { placer, dispatchSignals }: SignListener,
  { server, request, openedAt, answeredAt = openedAt }: AnsweredAttempt,
  { isOtherServer, status, signs: signals }: AnswerHead,
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
