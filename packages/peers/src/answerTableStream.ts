/** Answers the table questions that another box asks over one stream. */
import type { ServerDuplexStream } from "@grpc/grpc-js";
import { callAnswerer } from "./callAnswerer.js";
import type { TableCall, TableReply } from "./tableStreamCodec.js";
import type { TableAnswer, TableQuestion } from "./types.js";

type AnswerTable = (question: TableQuestion, signal: AbortSignal) => Promise<TableAnswer>;

/** Questions that one box may have open: it follows four tables, with one question for each at a time. */
const MAX_OPEN_QUESTIONS = 64;

/** Detail of the failure of a question whose answer nothing may be held for. */
export const NO_ROOM = "too many unread answers";

/** Creates the handler of such streams; `hasRoom` tells whether there is memory for another answer. */
export const createTableStreamHandler =
  (answerTable: AnswerTable, hasRoom: () => boolean) =>
  (stream: ServerDuplexStream<TableCall, TableReply>): void => {
    const open = new Map<number, AbortController>();

    /** Sends a reply; while the other box does not read, no further questions of it are read. */
    const write = (reply: TableReply) => {
      if (!stream.write(reply)) stream.pause();
    };
    const send = (reply: TableReply) => {
      // Nobody waits for the answer to a cancelled question.
      if (open.delete(reply.id)) write(reply);
    };
    const sendAnswer = (id: number, answer: TableAnswer) => {
      if (hasRoom()) send({ kind: "answered", id, answer });
      else send({ kind: "failed", id, detail: NO_ROOM });
    };
    const answerQuestion = (id: number, question: TableQuestion) => {
      const cancellation = new AbortController();
      open.set(id, cancellation);
      callAnswerer(() => answerTable(question, cancellation.signal)).then(
        (answer) => sendAnswer(id, answer),
        (error: unknown) => send({ kind: "failed", id, detail: String(error) }),
      );
    };
    const cancelQuestion = (id: number) => {
      open.get(id)?.abort();
      open.delete(id);
    };
    const endStream = () => {
      for (const id of [...open.keys()]) cancelQuestion(id);
      stream.end();
    };

    stream.on("drain", () => stream.resume());
    stream.on("data", (call: TableCall) => {
      const { id } = call;
      if (call.kind === "cancel") cancelQuestion(id);
      else if (call.kind === "unknown")
        write({ kind: "failed", id, detail: "unknown kind of question" });
      else if (open.size >= MAX_OPEN_QUESTIONS)
        write({ kind: "failed", id, detail: "too many open questions" });
      else answerQuestion(id, call.question);
    });
    stream.on("error", endStream);
    stream.on("end", endStream);
    stream.on("cancelled", endStream);
  };
