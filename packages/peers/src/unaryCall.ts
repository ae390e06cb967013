/** A unary gRPC call to another box. */
import type { Client } from "@grpc/grpc-js";
import { Err, Ok, type Result } from "@stairgauge/common";
import type { AskFailure } from "./types.js";

/** The path and the codec of one kind of question. */
export type UnaryMethod<Question, Answer> = Readonly<{
  path: string;
  requestSerialize: (question: Question) => Buffer;
  responseDeserialize: (bytes: Buffer) => Answer;
}>;

/** The channel to the other box, and what to call there. */
export type UnaryTarget<Question, Answer> = Readonly<{
  client: Client;
  method: UnaryMethod<Question, Answer>;
}>;

/** Asks one question; the call is cancelled when the signal aborts. A closed channel throws, which is a failure as well. */
export const callUnary = <Question, Answer>(
  { client, method }: UnaryTarget<Question, Answer>,
  question: Question,
  signal: AbortSignal,
): Promise<Result<Answer, AskFailure>> =>
  new Promise<Result<Answer, AskFailure>>((resolve) => {
    const call = client.makeUnaryRequest(
      method.path,
      method.requestSerialize,
      method.responseDeserialize,
      question,
      (error, answer) => {
        if (answer) resolve(Ok(answer));
        else resolve(Err({ kind: "failed", detail: error?.details ?? "no answer" }));
      },
    );
    const cancel = () => {
      // The call itself may end later.
      resolve(Err({ kind: "failed", detail: "cancelled" }));
      call.cancel();
    };
    signal.addEventListener("abort", cancel, { once: true });
  }).catch((error: unknown) =>
    Err({
      kind: "failed",
      detail: error instanceof Error ? error.message : String(error),
    }),
  );
