/** A final answer of the system's own: told, encoded and sent in one place. */
import type { Ms } from "@stairgauge/common";
import type { AdmittedRequest, ForwarderDeps } from "./forwarderTypes.js";
import type { OwnAnswer } from "./types.js";

/** Sends the answer, with its reason as the body. */
export const sendOwnAnswer = (
  { clock, codec, observer }: Pick<ForwarderDeps, "clock" | "codec" | "observer">,
  { head, answer, receivedAt }: Pick<AdmittedRequest, "head" | "answer" | "receivedAt">,
  own: OwnAnswer & Readonly<{ reason: string }>,
): void => {
  const { status, reason, retryAfter } = own;
  const since = (clock.monotonic() - receivedAt) as Ms;
  observer.onDecision(head, { kind: "refused", reason, status, retryAfter }, since);
  const headers = codec.encodeOwnAnswer(head, { status, retryAfter });
  answer.sendWhole({ status, headers }, Buffer.from(JSON.stringify({ error: reason })));
};
