/**
 * Sends one request to one server over a separate connection.
 *
 * NOTE: connections are not reused. On a reused one, surplus bytes could be taken as the answer to the
 * next request, or the server could close it while a request that may run only once is being sent. See
 * docs/design/users-platform.md for the cost.
 */
import {
  request as openRequest,
  type ClientRequest,
  type IncomingMessage,
} from "node:http";
import type { Socket } from "node:net";
import {
  connectTcp,
  type BoxName,
  type Clock,
  type Dialer,
  type Ms,
  type Result,
  type Timer,
} from "@stairgauge/common";
import type { ServerAddress } from "@stairgauge/directory";
import { createReadTurns, type ReadTurns } from "@stairgauge/saturation";
import {
  createOverheadMeter,
  describeExcess,
  type AnswerExcess,
} from "./answerLimits.js";
import {
  startAnswerReader,
  type AnswerReader,
  type SmallPieces,
} from "./answerReader.js";
import { watchConnectionEnd } from "./connectionEnd.js";
import type { ExchangeFailure, RawHeaders } from "./types.js";
import { attemptMake, failUnsent, type UnsendableFailure } from "./unsendable.js";

/** Largest head of a server's answer. */
const ANSWER_HEAD_BYTES = 64 * 1024;

/**
 * How long the end of an answer waits for its request to be written. A server that reads on takes the longest one in a third of
 * this over a link of 1 Gbit/s; one that does not may keep the connection open although its answer is complete.
 */
const UNREAD_REQUEST_MS = 100 as Ms;

/** The request to send. */
export type ExchangeRequest = Readonly<{
  address: ServerAddress;
  method: string;
  target: string;
  headers: RawHeaders;
  body: Buffer;
  /** Timeout for establishing the connection. */
  connectLimit: Ms;
  /** Opens the connection; over TCP if undefined. */
  dial?: Dialer | undefined;
  /** Divides the time for reading among the answers of this process; this one has turns of its own if undefined. */
  turns?: ReadTurns | undefined;
  /** Reports an answer that exceeds a limit. */
  onExcess?: ((excess: AnswerExcess) => void) | undefined;
  /** Reports an answer whose rest is read in turn since it comes in small pieces. */
  onSmallPieces?: ((pieces: SmallPieces) => void) | undefined;
  /** Reports a request that cannot be sent. */
  onUnsendable?: ((detail: string) => void) | undefined;
}>;

/** What ended an answer: its framing, or a normal close of the connection that the framing does not prove complete. */
export type EndedBy = "framing" | "connection";

/** Receives the answer; `onEnd` and `onFailure` are final. */
export type ExchangeSink = Readonly<{
  /** The connection is established. */
  onConnected?: (() => void) | undefined;
  /** The request is being sent by way of this box. */
  onCarried?: ((carrier: BoxName) => void) | undefined;
  onHead: (status: number, headers: RawHeaders, reason: string) => void;
  onData: (chunk: Buffer) => void;
  /** The answer has ended without an error; whether it is complete depends on `endedBy`. */
  onEnd: (endedBy: EndedBy) => void;
  onFailure: (failure: ExchangeFailure) => void;
}>;

/** An exchange in progress. */
export type Exchange = Readonly<{
  /** Closes the connection; the sink is not called any more. */
  cancel: () => void;
  /** Like `cancel`, since the answer exceeds a limit of its sink; reports it. */
  cancelFor: (excess: AnswerExcess) => void;
  pause: () => void;
  resume: () => void;
  /** Whether a connection was established, so that the server may have received the request. */
  isSent: () => boolean;
}>;

/** Opens an exchange with one server; `build` is called anew for each way that is tried. */
export type OpenBuilt = (build: () => ExchangeRequest, sink: ExchangeSink) => Exchange;

/** Detail of a failure if the host is up but nothing listens on the port. */
export const REFUSED_CODE = "ECONNREFUSED";

const getCode = (error: unknown): string => {
  const code = (error as { readonly code?: unknown } | null)?.code;
  if (typeof code === "string") return code;
  return error instanceof Error ? error.message : "unknown";
};

type Outgoing = Readonly<{ outgoing: ClientRequest; socket: Socket }>;

/** Makes the request. Its connection is dialed once the head is complete; if anything throws, none is left open. */
const makeOutgoing = (
  { address, method, target, headers }: ExchangeRequest,
  dial: Dialer,
): Result<Outgoing, UnsendableFailure> => {
  const dialed: Socket[] = [];
  const made = attemptMake(() => {
    const outgoing = openRequest({
      createConnection: () => {
        const socket = dial(address);
        dialed.push(socket);
        return socket;
      },
      method,
      path: target,
      headers: headers as string[],
      maxHeaderSize: ANSWER_HEAD_BYTES,
    });
    const [socket] = dialed;
    if (socket) return { outgoing, socket };
    // What dialing threw is emitted later.
    outgoing.on("error", () => undefined).destroy();
    throw new TypeError("Address cannot be dialed");
  });
  if (made.err) for (const socket of dialed) socket.destroy();
  return made;
};

/** Sends a request and passes the answer to the sink; never throws. */
export const openExchange = (
  clock: Clock,
  exchange: ExchangeRequest,
  sink: ExchangeSink,
): Exchange => {
  const { body, connectLimit, dial = connectTcp, onExcess } = exchange;
  const { turns = createReadTurns({ clock, scheduleTurnEnd: setImmediate }) } = exchange;
  const made = makeOutgoing(exchange, dial);
  if (made.err) {
    exchange.onUnsendable?.(made.val.detail);
    return failUnsent(clock, made.val, sink);
  }
  const { outgoing, socket } = made.val;
  let isConnected = false;
  let isOver = false;
  /** The answer was complete when its connection closed; later errors of the connection are ignored. */
  let isProven = false;
  let answer: IncomingMessage | undefined;
  let endedBy: EndedBy = "framing";
  /** Runs while the connection has ended and the request is not written yet. */
  let endTimer: Timer | undefined;
  let reader: AnswerReader | undefined;
  const meter = createOverheadMeter();

  const finish = () => {
    if (isOver) return false;
    isOver = true;
    connectTimer.cancel();
    endTimer?.cancel();
    return true;
  };
  const fail = (failure: ExchangeFailure) => {
    if (isProven || (answer?.complete && endedBy === "framing")) return;
    if (!finish()) return;
    socket.destroy();
    sink.onFailure(failure);
  };
  const connectTimer = clock.setTimeLimit(connectLimit, () => {
    if (!isConnected) fail({ kind: "unreachable", detail: "no connection in time" });
  });
  const toFailure = (error: unknown): ExchangeFailure => {
    const detail = getCode(error);
    if (!isConnected) return { kind: "unreachable", detail };
    return detail.startsWith("HPE_")
      ? { kind: "malformed", detail }
      : { kind: "broken", detail };
  };

  const end = () => {
    if (!finish()) return;
    socket.destroy();
    sink.onEnd(endedBy);
  };
  const failByExcess = (excess: AnswerExcess) => {
    if (isOver) return;
    onExcess?.(excess);
    fail({ kind: "malformed", detail: describeExcess(excess) });
  };

  socket.once("connect", () => {
    isConnected = true;
    connectTimer.cancel();
    if (!isOver) sink.onConnected?.();
  });
  const concludeEnd = () => {
    if (isOver || isProven) return;
    connectionEnd.notifyClient();
    isProven = answer?.complete ?? false;
  };
  const connectionEnd = watchConnectionEnd(socket, () => {
    if (isOver || answer?.complete) return;
    if (!answer) {
      connectionEnd.notifyClient();
      return;
    }
    endedBy = "connection";
    connectionEnd.probe((error) => {
      if (error) fail(toFailure(error));
      else setImmediate(concludeEnd);
    });
    endTimer = clock.setTimeLimit(UNREAD_REQUEST_MS, concludeEnd);
  });
  // The parser has the bytes first, so that those of a body are counted before they are compared.
  outgoing.once("socket", () => {
    const parsers = socket.listeners("data");
    socket.removeAllListeners("data");
    connectionEnd.takeListeners();
    reader = startAnswerReader({
      socket,
      parse: (piece) => {
        for (const parse of parsers) parse.call(socket, piece);
        const excess = meter.addReceived(piece.length);
        if (excess) failByExcess(excess);
      },
      // Node.js takes its parser away behind a malformed answer, and fails on any further bytes.
      isComplete: () => isOver || answer?.complete === true,
      onBody: (bytes) => {
        if (!isOver) sink.onData(bytes);
      },
      onSmallPieces: (pieces) => exchange.onSmallPieces?.(pieces),
      clock,
      turns,
    });
  });
  outgoing.on("error", (error) => fail(toFailure(error)));
  outgoing.on("close", () =>
    fail({ kind: "broken", detail: "closed without an answer" }),
  );
  outgoing.once("upgrade", () =>
    fail({ kind: "broken", detail: "closed without an answer" }),
  );
  outgoing.on("response", (incoming) => {
    if (isOver) return;
    answer = incoming;
    incoming.on("data", (chunk: Buffer) => {
      meter.addBody(chunk.length);
      reader?.addChunk(chunk);
    });
    incoming.on("end", () => {
      if (!incoming.complete) return;
      // An error may still arrive in this turn of the event loop; the end counts only if none does.
      setImmediate(() => reader?.onDelivered(end));
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

  const cancel = () => {
    if (finish()) socket.destroy();
  };
  return {
    cancel,
    cancelFor: (excess) => {
      if (isOver) return;
      onExcess?.(excess);
      cancel();
    },
    pause: () => reader?.pause(),
    resume: () => reader?.resume(),
    isSent: () => isConnected,
  };
};
