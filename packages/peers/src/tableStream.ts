/** Asks another box for changes of tables over one stream: a call of its own for each question costs several times as much. */
import { status, type Client, type ClientDuplexStream } from "@grpc/grpc-js";
import { Err, Ok, type Clock, type Result } from "@stairgauge/common";
import type { PeerService } from "./service.js";
import type { TableCall, TableReply } from "./tableStreamCodec.js";
import type { AskFailure, TableAnswer, TableQuestion } from "./types.js";
import { callUnary } from "./unaryCall.js";

/** Options of the stream. */
export type TableStreamOptions = Readonly<{
  clock: Pick<Clock, "monotonic">;
  client: Client;
  service: Pick<PeerService, "askTable" | "exchangeTables">;
}>;

type Answered = Result<TableAnswer, AskFailure>;

/** The stream to one box; opened with the first question, and anew after it has ended. */
export type TableStream = Readonly<{
  ask: (question: TableQuestion, signal: AbortSignal) => Promise<Answered>;
  /** Ends the stream once no question is open. */
  close: () => void;
}>;

type OpenQuestion = Readonly<{
  settle: (answered: Answered | Promise<Answered>) => void;
  askUnary: () => Promise<Answered>;
}>;

/** A box of an earlier release is asked by unary calls for this long: it may be replaced at the same address. */
const UNARY_ONLY_MS = 30_000;

/** Questions and their cancellations that may wait for a slow box before its stream is cancelled. */
const MAX_WAITING_CALLS = 640;

const fail = (detail: string) => Err({ kind: "failed", detail } as const);

/** Creates the stream. */
export const createTableStream = (options: TableStreamOptions): TableStream => {
  const { clock, client, service } = options;
  const { askTable, exchangeTables } = service;
  const open = new Map<number, OpenQuestion>();
  let stream: ClientDuplexStream<TableCall, TableReply> | undefined;
  let lastId = 0;
  let unaryUntil = -Infinity;
  let isClosed = false;

  const endUnused = () => {
    if (!isClosed || open.size > 0) return;
    stream?.cancel();
    stream = undefined;
  };
  const onReply = (reply: TableReply) =>
    open
      .get(reply.id)
      ?.settle(reply.kind === "answered" ? Ok(reply.answer) : fail(reply.detail));
  const onEnd = (code: status, details: string) => {
    stream = undefined;
    const isUnknown = code === status.UNIMPLEMENTED;
    if (isUnknown) unaryUntil = clock.monotonic() + UNARY_ONLY_MS;
    // A closed channel accepts no further call.
    const canAskUnary = isUnknown && !isClosed;
    for (const { settle, askUnary } of [...open.values()])
      settle(canAskUnary ? askUnary() : fail(details));
  };

  const openStream = () => {
    const opened = client.makeBidiStreamRequest(
      exchangeTables.path,
      exchangeTables.requestSerialize,
      exchangeTables.responseDeserialize,
    );
    opened.on("data", onReply);
    // The status event follows; it settles the open questions.
    opened.on("error", () => undefined);
    opened.on("status", ({ code, details }) => {
      if (stream === opened) onEnd(code, details);
    });
    return opened;
  };
  /** A closed channel throws, which is a failure as well. */
  const attemptWrite = (call: TableCall): Result<void, AskFailure> => {
    try {
      stream ??= openStream();
      // The stream counts messages, not bytes.
      if (stream.writableLength > MAX_WAITING_CALLS) stream.cancel();
      else stream.write(call);
      return Ok(undefined);
    } catch (error) {
      return fail(error instanceof Error ? error.message : String(error));
    }
  };

  return {
    ask: (question, signal) => {
      const askUnary = () => callUnary({ client, method: askTable }, question, signal);
      // Whole tables are rare and large, and would delay the answers behind them on the stream.
      if (question.kind === "whole" || clock.monotonic() < unaryUntil) return askUnary();
      lastId += 1;
      const id = lastId;
      return new Promise((resolve) => {
        const settle: OpenQuestion["settle"] = (answered) => {
          open.delete(id);
          signal.removeEventListener("abort", cancel);
          resolve(answered);
          endUnused();
        };
        const cancel = () => {
          if (stream) attemptWrite({ kind: "cancel", id });
          settle(fail("cancelled"));
        };
        open.set(id, { settle, askUnary });
        signal.addEventListener("abort", cancel, { once: true });
        const written = attemptWrite({ kind: "ask", id, question });
        if (written.err) settle(written);
      });
    },
    close: () => {
      isClosed = true;
      endUnused();
    },
  };
};
