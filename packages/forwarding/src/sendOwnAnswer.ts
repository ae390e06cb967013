/** Reports, encodes and sends a final answer that the box generates itself. */
import { assertNever, type Ms } from "@stairgauge/common";
import type { FoundBlock } from "@stairgauge/crashes";
import type { CapacityRefusal, NoServerReason } from "@stairgauge/placement";
import type { Route } from "@stairgauge/routing";
import type { AdmittedRequest } from "./admittedRequest.js";
import type { RefusalReason } from "./forwardDecision.js";
import type { ForwarderDeps } from "./forwarderTypes.js";
import type { OwnAnswer } from "./types.js";

/** An answer with its reason, and how the last attempt ended (undefined if there was none). */
export type ReasonedAnswer = OwnAnswer &
  Readonly<{ reason: RefusalReason; detail?: string | undefined }>;

/** Reason of the refusal for each reason why no server could be chosen. */
export const REFUSAL_OF_NO_SERVER: Readonly<Record<NoServerReason, RefusalReason>> = {
  none_known: "no_server_known",
  none_in_regions: "no_server_in_regions",
  none_of_version: "no_server_of_version",
  halls_closed: "data_halls_closed",
  servers_cold: "servers_cold",
  servers_limited: "servers_limited",
  servers_resting: "servers_resting",
  connections_used: "server_connections_used",
  none_left: "no_server_known",
  no_room: "no_room",
  too_late: "too_late",
};

/** Names the part of the prompt for which a request is blocked; undefined if it is the whole request. */
const describeSuspect = (suspect: FoundBlock["suspect"]): string | undefined => {
  switch (suspect.kind) {
    case "request":
      return undefined;
    case "prompt_part":
      return `part ${suspect.part} of the prompt`;
    default:
      return assertNever(suspect);
  }
};

/**
 * Builds the answer to a request that is blocked. Status 503 promises that the request has not run, so
 * it is used only if that is certain.
 */
export const makeBlockedAnswer = (
  { suspect, left }: FoundBlock,
  mayHaveRun: boolean,
): ReasonedAnswer => {
  const detail = describeSuspect(suspect);
  const reason = "servers_end_under_it";
  return mayHaveRun
    ? { status: 502, reason, detail, retryAfter: undefined }
    : { status: 503, reason, detail, retryAfter: left };
};

/** A refusal for lack of capacity. */
export type RefusedForCapacity = Readonly<{
  reason: CapacityRefusal;
  retryAfter: Ms;
}>;

/**
 * Builds the answer to a request that is refused for lack of capacity, with the time at which
 * capacity is expected. Like that to a blocked request, it is 503 only if the request has not run.
 */
export const makeCapacityAnswer = (
  { reason, retryAfter }: RefusedForCapacity,
  mayHaveRun: boolean,
): ReasonedAnswer =>
  mayHaveRun
    ? { status: 502, reason, retryAfter: undefined }
    : { status: 503, reason, retryAfter };

/** The request to answer. */
export type AnsweredRequest = Pick<AdmittedRequest, "head" | "answer" | "receivedAt"> &
  Readonly<{ route: Route | undefined }>;

/** Sends the answer, with its reason in the body. */
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
