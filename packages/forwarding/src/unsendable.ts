/**
 * Calls that cannot be made: building the request threw, or a value of it does not fit into an HTTP head. Nothing was
 * sent, so the request has not run, and nothing follows for the server, the path to it or the box that would carry it.
 */
import { validateHeaderName, validateHeaderValue } from "node:http";
import { Err, Ok, type Clock, type Ms, type Result } from "@stairgauge/common";
import type { Exchange, ExchangeRequest, ExchangeSink } from "./openExchange.js";
import type { ExchangeFailure } from "./types.js";

/** The failure of such a call. */
export type UnsendableFailure = Extract<ExchangeFailure, { kind: "unsendable" }>;

const METHOD_TOKEN = /^[!#$%&'*+.^_`|~\w-]+$/;
const TARGET = /^[\x21-\xff]+$/;

/** Describes what was thrown; the errors of Node.js name the header, and no value. */
const toUnsendable = (error: unknown): UnsendableFailure => ({
  kind: "unsendable",
  detail: error instanceof Error ? error.message : String(error),
});

/** Calls `make`; what it throws is a failure. */
export const attemptMake = <T>(make: () => T): Result<T, UnsendableFailure> => {
  try {
    return Ok(make());
  } catch (error) {
    return Err(toUnsendable(error));
  }
};

/** Throws if the head cannot be sent, for a box that does not send it itself. */
export const assertSendable = ({
  method,
  target,
  headers,
}: Pick<ExchangeRequest, "method" | "target" | "headers">): void => {
  if (!METHOD_TOKEN.test(method)) throw new TypeError("Method must be a token");
  if (!TARGET.test(target)) throw new TypeError("Target contains unescaped characters");
  for (let i = 0; i < headers.length; i += 2) {
    validateHeaderName(headers[i]!);
    validateHeaderValue(headers[i]!, headers[i + 1]!);
  }
};

/** Creates the exchange of a call that was not made; the failure is reported once the caller has the exchange. */
export const failUnsent = (
  clock: Pick<Clock, "setTimer">,
  failure: UnsendableFailure,
  { onFailure }: Pick<ExchangeSink, "onFailure">,
): Exchange => {
  const timer = clock.setTimer(0 as Ms, () => onFailure(failure));
  return {
    cancel: timer.cancel,
    cancelFor: timer.cancel,
    pause: () => undefined,
    resume: () => undefined,
    isSent: () => false,
  };
};
