/** All errors that callers can receive, in the format of the chat and completion APIs. */
import type { ServerResponse } from "node:http";
import { assertNever, type Ms } from "@stairgauge/common";
import type { BodyFailure, ClientFault } from "@stairgauge/http";
import { sendJson } from "@stairgauge/http";
import type { LinkFailure, OnceRefusal, Outcome } from "@stairgauge/outcomes";
import type { Refusal } from "@stairgauge/relay";
import type { ResumeTokenFailure, StreamFailure } from "@stairgauge/streams";
import type { Metrics } from "@stairgauge/telemetry";

const MS_PER_SECOND = 1_000;

/** Why a request got no answer, or no whole one. */
export type ApiFailure = Readonly<
  | BodyFailure
  | ResumeTokenFailure
  | { kind: "client_fault"; fault: ClientFault }
  | { kind: "invalid_field"; param: string; expected: string }
  | { kind: "unsupported_field"; param: string }
  | { kind: "context_length_exceeded"; limit: number }
  | { kind: "missing_key" }
  | { kind: "wrong_key" }
  | { kind: "unknown_model"; model: string }
  | { kind: "unknown_service"; service: string }
  | { kind: "unknown_route" }
  | { kind: "not_ready" }
  | { kind: "refused"; refusal: Refusal }
  | { kind: "stream_failed"; failure: StreamFailure }
  | { kind: "resume_elsewhere" }
  /** `failure` is that of the last attempt; undefined if no server could be tried. */
  | { kind: "service_failed"; failure: LinkFailure | undefined; outcome: Outcome }
  | { kind: "idempotency_key_needed" }
  | { kind: "once_refused"; reason: OnceRefusal; outcome: Outcome }
  | { kind: "once_answer_too_large" }
>;

/** An error response. */
export type ApiError = Readonly<{
  /** HTTP status. */
  status: number;
  type: string;
  code: string;
  message: string;
  /** The field or header that the error is about; null if it is about none. */
  param: string | null;
  /** Whether the request ran. */
  outcome: Outcome;
  /** Time after which the caller is asked to retry; undefined if the error suggests no retry. */
  retryAfter: Ms | undefined;
}>;

/** Failure of requests that arrive while the box is stopping. */
export const BOX_STOPPING: ApiFailure = {
  kind: "refused",
  refusal: { reason: "leaving", retryAfter: 0 as Ms, outcome: "not_run" },
};

const INVALID = "invalid_request_error";
const SERVER = "server_error";
const RETRY_SOON_MS = 1_000 as Ms;

const buildError = (
  status: number,
  code: string,
  message: string,
  rest: Partial<ApiError> = {},
): ApiError => ({
  status,
  type: status < 500 ? INVALID : SERVER,
  code,
  message,
  param: null,
  outcome: "not_run",
  retryAfter: undefined,
  ...rest,
});

const REFUSAL_MESSAGES = {
  no_backend_server: "No backend server for this model takes new work.",
  queue_full: "Too many requests of this workspace are waiting.",
  deadline_unreachable:
    "The first token could not be reached within the tier's deadline.",
  too_large_for_memory: "The prompt does not fit the memory of any engine.",
  leaving: "This entry box is stopping; ask again.",
} as const satisfies Record<Refusal["reason"], string>;

const describeRefusal = ({ reason, retryAfter, outcome }: Refusal): ApiError => {
  const message = REFUSAL_MESSAGES[reason];
  switch (reason) {
    case "queue_full":
      return buildError(429, reason, message, {
        type: "rate_limit_error",
        retryAfter,
        outcome,
      });
    case "too_large_for_memory":
      return buildError(400, reason, message, { outcome });
    case "no_backend_server":
    case "deadline_unreachable":
    case "leaving":
      return buildError(503, reason, message, { retryAfter, outcome });
    default:
      return assertNever(reason);
  }
};

const describeStreamFailure = (failure: StreamFailure): ApiError => {
  const { outcome } = failure;
  switch (failure.kind) {
    case "generation_lost":
      return buildError(502, failure.kind, "The generation was lost before its end.", {
        outcome,
      });
    case "attempts_exhausted":
      return buildError(503, failure.kind, "No engine could start the generation.", {
        outcome,
        retryAfter: RETRY_SOON_MS,
      });
    case "token_count_mismatch":
      return buildError(502, failure.kind, "The engine's end does not fit its tokens.", {
        outcome,
      });
    default:
      return assertNever(failure);
  }
};

const ONCE_REFUSALS = {
  store_unavailable: {
    status: 503,
    message: "The store cannot be reached, so nothing was sent.",
  },
  key_reused: {
    status: 422,
    message: "This Idempotency-Key was used with another content.",
  },
  in_progress: { status: 409, message: "A call with this Idempotency-Key is being run." },
  outcome_unknown: {
    status: 409,
    message: "An earlier call may have run; it is not run again.",
  },
  already_ran: { status: 409, message: "The call ran; its answer was not kept." },
} as const satisfies Record<OnceRefusal, Readonly<{ status: number; message: string }>>;

const describeOnceRefusal = (reason: OnceRefusal, outcome: Outcome): ApiError => {
  const { status, message } = ONCE_REFUSALS[reason];
  const mayChange = reason === "store_unavailable" || reason === "in_progress";
  const retryAfter = mayChange ? RETRY_SOON_MS : undefined;
  return buildError(status, reason, message, { outcome, retryAfter });
};

const describeServiceFailure = (
  failure: LinkFailure | undefined,
  outcome: Outcome,
): ApiError => {
  if (failure)
    return buildError(502, "service_failed", "The service gave no whole answer.", {
      outcome,
    });
  const message = "No server of this service takes new work.";
  return buildError(503, "no_service_server", message, {
    outcome,
    retryAfter: RETRY_SOON_MS,
  });
};

const CLIENT_FAULT_STATUS = {
  header_too_large: 431,
  too_slow: 408,
  malformed: 400,
} as const;

/** Converts a failure to the error that the caller receives. */
export const describeFailure = (failure: ApiFailure): ApiError => {
  switch (failure.kind) {
    case "body_too_large":
      return buildError(413, failure.kind, `The body exceeds ${failure.maxBytes} bytes.`);
    case "body_too_slow":
      return buildError(408, failure.kind, "The body arrived too slowly.");
    case "body_cut_off":
      return buildError(400, failure.kind, "The body ended early.");
    case "body_not_json":
      return buildError(400, failure.kind, "The body is not valid JSON.");
    case "client_fault":
      return buildError(
        CLIENT_FAULT_STATUS[failure.fault],
        failure.fault,
        "The request is not acceptable HTTP.",
      );
    case "invalid_field":
      return buildError(400, failure.kind, `${failure.param}: ${failure.expected}`, {
        param: failure.param,
      });
    case "unsupported_field":
      return buildError(400, failure.kind, `${failure.param} is not supported here.`, {
        param: failure.param,
      });
    case "context_length_exceeded":
      return buildError(
        400,
        failure.kind,
        `Prompt and answer exceed ${failure.limit} tokens.`,
        { param: "messages" },
      );
    case "missing_key":
      return buildError(401, failure.kind, "A key is needed: Authorization: Bearer KEY.");
    case "wrong_key":
      return buildError(401, "invalid_api_key", "The key is not known.");
    case "unknown_model":
      return buildError(
        404,
        "model_not_found",
        `The model ${JSON.stringify(failure.model)} does not exist or is not granted.`,
        { param: "model" },
      );
    case "unknown_service":
      return buildError(
        404,
        "service_not_found",
        "The service does not exist or is not granted.",
      );
    case "unknown_route":
      return buildError(404, failure.kind, "There is no such route.");
    case "not_ready":
      return buildError(503, failure.kind, "No bundle is in force on this box yet.", {
        retryAfter: RETRY_SOON_MS,
      });
    case "refused":
      return describeRefusal(failure.refusal);
    case "stream_failed":
      return describeStreamFailure(failure.failure);
    case "resume_elsewhere":
      return buildError(
        503,
        failure.kind,
        "This box stops: resume with the last event's id.",
        {
          outcome: "unknown",
          retryAfter: 0 as Ms,
        },
      );
    case "malformed_token":
    case "unknown_key":
    case "wrong_signature":
      return buildError(
        400,
        "invalid_resume_token",
        "Last-Event-ID is no token of this workspace.",
        { param: "Last-Event-ID" },
      );
    case "expired_token":
      return buildError(410, failure.kind, "The resume token has expired.", {
        param: "Last-Event-ID",
      });
    case "service_failed":
      return describeServiceFailure(failure.failure, failure.outcome);
    case "idempotency_key_needed":
      return buildError(400, failure.kind, "This route needs an Idempotency-Key.", {
        param: "Idempotency-Key",
      });
    case "once_refused":
      return describeOnceRefusal(failure.reason, failure.outcome);
    case "once_answer_too_large":
      return buildError(
        502,
        failure.kind,
        "The call ran; its answer is too large to pass on.",
        {
          outcome: "ran",
        },
      );
    default:
      return assertNever(failure);
  }
};

/** Body of an error response. */
export const renderErrorBody = ({ message, type, param, code, outcome }: ApiError) => ({
  error: { message, type, param, code, outcome },
});

/** Headers of an error response; Retry-After is in whole seconds, rounded up. */
export const renderErrorHeaders = ({ retryAfter }: ApiError): Record<string, string> =>
  retryAfter === undefined
    ? {}
    : { "retry-after": String(Math.ceil(retryAfter / MS_PER_SECOND)) };

/** Counts a failure, sends it as an error response unless one has begun, and returns the error. */
export const sendFailure = (
  response: ServerResponse,
  failure: ApiFailure,
  metrics: Metrics,
): ApiError => {
  const error = describeFailure(failure);
  metrics.refusals.inc({ code: error.code });
  const headers = renderErrorHeaders(error);
  // NOTE: the rest of an unread body would be parsed as the next request, so the connection closes.
  const isBodyUnread = !response.req.complete;
  sendJson(response, error.status, renderErrorBody(error), {
    ...headers,
    ...(isBodyUnread ? { connection: "close" } : {}),
  });
  return error;
};
