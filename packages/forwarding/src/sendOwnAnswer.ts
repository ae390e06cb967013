/** A final answer of the system's own: told, encoded and sent in one place. */
import type { Ms } from "@stairgauge/common";
import type { NoServerReason } from "@stairgauge/placement";
import type { Route } from "@stairgauge/routing";
import type { AdmittedRequest, ForwarderDeps, RefusalReason } from "./forwarderTypes.js";
import type { OwnAnswer } from "./types.js";

/** An answer with its reason, and what the last server did. */
export type ReasonedAnswer = OwnAnswer &
  Readonly<{ reason: RefusalReason; detail?: string | undefined }>;

/** Why a request is refused for which there is no server. */
export const REFUSAL_OF_NO_SERVER: Readonly<Record<NoServerReason, RefusalReason>> = {
  none_known: "no_server_known",
  none_in_regions: "no_server_in_regions",
  halls_closed: "data_halls_closed",
  servers_cold: "servers_cold",
  servers_limited: "servers_limited",
  servers_resting: "servers_resting",
  none_left: "no_server_known",
};

/** The answer to a request that goes to no server for so long; a promise that it has not run only where that is so. */
export const makeBlockedAnswer = (left: Ms, mayHaveRun: boolean): ReasonedAnswer => {
  const reason = "servers_end_under_it";
  return mayHaveRun
    ? { status: 502, reason, retryAfter: undefined }
    : { status: 503, reason, retryAfter: left };
};

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
