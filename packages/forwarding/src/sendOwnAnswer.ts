/** A final answer of the system's own: told, encoded and sent in one place. */
import type { Ms } from "@stairgauge/common";
import type { Route } from "@stairgauge/routing";
import type { AdmittedRequest, ForwarderDeps, RefusalReason } from "./forwarderTypes.js";
import type { OwnAnswer } from "./types.js";

/** An answer with its reason, and what the last server did. */
export type ReasonedAnswer = OwnAnswer &
  Readonly<{ reason: RefusalReason; detail?: string | undefined }>;

/** Whose answer it is. */
export type AnsweredRequest = Pick<AdmittedRequest, "head" | "answer" | "receivedAt"> &
  Readonly<{ route: Route | undefined }>;

/** Sends the answer, with its reason as the body. */
export const sendOwnAnswer = (
  { clock, codec, observer }: Pick<ForwarderDeps, "clock" | "codec" | "observer">,
  { head, route, answer, receivedAt }: AnsweredRequest,
  { status, reason, detail, retryAfter }: ReasonedAnswer,
): void => {
  const sinceReceived = (clock.monotonic() - receivedAt) as Ms;
  observer.onDecision(
    { head, route, sinceReceived },
    { kind: "refused", reason, detail, status, retryAfter },
  );
  const headers = codec.encodeOwnAnswer(head, { status, retryAfter });
  const body = JSON.stringify({ error: reason, detail });
  answer.sendWhole({ status, headers }, Buffer.from(body));
};
