/**
 * One request to one server over a connection of its own.
 *
 * NOTE: connections are not kept. A kept one can carry a surplus answer into the place of the next, or
 * close while a request that may run once is on its way; docs/design/users-platform.md weighs the cost.
 */
import { request as openRequest, type IncomingMessage } from "node:http";
import { connect } from "node:net";
import type { Clock, Ms } from "@stairgauge/common";
import type { ServerAddress } from "@stairgauge/directory";
import type { ExchangeFailure, RawHeaders } from "./types.js";

/** Most bytes of a server's answer head. */
const ANSWER_HEAD_BYTES = 64 * 1024;

/** What is sent. */
export type ExchangeRequest = Readonly<{
  address: ServerAddress;
  method: string;
  target: string;
  headers: RawHeaders;
  body: Buffer;
  /** How long a connection may take to come up. */
  connectLimit: Ms;
}>;

/** What ended an answer: its own framing, or its connection, closed in order while the answer could have gone on. */
export type EndedBy = "framing" | "connection";

/** What happens during an exchange; after `onEnd` or `onFailure` nothing more comes. */
export type ExchangeSink = Readonly<{
  onHead: (status: number, headers: RawHeaders, reason: string) => void;
  onData: (chunk: Buffer) => void;
  /** The answer has ended without an error; what that proves depends on what ended it. */
  onEnd: (endedBy: EndedBy) => void;
  onFailure: (failure: ExchangeFailure) => void;
}>;

/** An exchange under way. */
export type Exchange = Readonly<{
  /** Breaks it off; the sink hears nothing more. */
  cancel: () => void;
  pause: () => void;
  resume: () => void;
  /** Whether a connection came up, so that the server may have the request. */
  isSent: () => boolean;
}>;

const EMPTY_LINE = "\r\n";

const getCode = (error: unknown): string => {
  const code = (error as { readonly code?: unknown } | null)?.code;
  if (typeof code === "string") return code;
  return error instanceof Error ? error.message : "unknown";
};

/** Sends a request; the answer comes to the sink. */
export const openExchange = (
  clock: Clock,
  exchange: ExchangeRequest,
  sink: ExchangeSink,
): Exchange => {
  const { address, method, target, headers, body, connectLimit } = exchange;
  let isConnected = false;
  let isOver = false;
  /** The answer has come whole as far as its bytes tell; what its connection does later says nothing of it. */
  let isProven = false;
  let answer: IncomingMessage | undefined;
  let endedBy: EndedBy = "framing";
  const { host, port } = address;
  const socket = connect({ host, port, noDelay: true, allowHalfOpen: true });

  const finish = () => {
    if (isOver) return false;
    isOver = true;
    connectTimer.cancel();
    return true;
  };
  const fail = (failure: ExchangeFailure) => {
    if (isProven || (answer?.complete && endedBy === "framing")) return;
    if (!finish()) return;
    socket.destroy();
    sink.onFailure(failure);
  };
  const connectTimer = clock.setTimer(connectLimit, () => {
    if (!isConnected) fail({ kind: "unreachable", detail: "no connection in time" });
  });
  const toFailure = (error: unknown): ExchangeFailure => {
    const detail = getCode(error);
    if (!isConnected) return { kind: "unreachable", detail };
    return detail.startsWith("HPE_")
      ? { kind: "malformed", detail }
      : { kind: "broken", detail };
  };

  socket.once("connect", () => {
    isConnected = true;
    connectTimer.cancel();
  });
  const outgoing = openRequest({
    createConnection: () => socket,
    method,
    path: target,
    headers: headers as string[],
    maxHeaderSize: ANSWER_HEAD_BYTES,
  });
  // NOTE: the runtime reports a reset that arrives with the last bytes as an end in order. Only a
  // write tells them apart, and only an answer that has not ended before needs to know; the empty
  // line is one that servers skip between requests.
  socket.prependListener("end", () => {
    if (!answer || answer.complete) return;
    endedBy = "connection";
    socket.write(EMPTY_LINE, (error) => {
      if (error) fail(toFailure(error));
    });
    setImmediate(() => {
      isProven = answer?.complete ?? false;
    });
  });
  outgoing.on("error", (error) => fail(toFailure(error)));
  outgoing.on("close", () =>
    fail({ kind: "broken", detail: "closed without an answer" }),
  );
  outgoing.on("response", (incoming) => {
    if (isOver) return;
    answer = incoming;
    incoming.on("data", (chunk: Buffer) => {
      if (!isOver) sink.onData(chunk);
    });
    incoming.on("end", () => {
      if (!incoming.complete) return;
      // The end counts only when the turn passes without an error.
      setImmediate(() => {
        if (!finish()) return;
        socket.destroy();
        sink.onEnd(endedBy);
      });
    });
    incoming.on("error", (error) => fail(toFailure(error)));
    incoming.on("aborted", () => fail({ kind: "broken", detail: "aborted" }));
    sink.onHead(
      incoming.statusCode ?? 0,
      incoming.rawHeaders,
      incoming.statusMessage ?? "",
    );
  });
  outgoing.end(body);

  return {
    cancel: () => {
      if (finish()) socket.destroy();
    },
    pause: () => answer?.pause(),
    resume: () => answer?.resume(),
    isSent: () => isConnected,
  };
};
