/** Sends a request by way of another box, and serves such calls. */
import {
  status,
  type Client,
  type ClientReadableStream,
  type ServerWritableStream,
  type ServiceError,
} from "@grpc/grpc-js";
import type { CarryFrame, CarryQuestion } from "@stairgauge/paths";
import type { PeerService } from "./service.js";

/** Receives the frames of a carried request; `onEnd` is final. */
export type CarrySink = Readonly<{
  onFrame: (frame: CarryFrame) => void;
  /** The call has ended; `detail` says why if it did not end normally. */
  onEnd: (detail: string | undefined) => void;
}>;

/** A carried request in progress. */
export type CarryCall = Readonly<{
  /** Ends the call at both boxes; the sink is not called any more. */
  cancel: () => void;
  pause: () => void;
  resume: () => void;
}>;

/** Asks the box behind the client to carry the request. */
export const callCarry = (
  client: Client,
  { carry }: Pick<PeerService, "carry">,
  { question, sink }: Readonly<{ question: CarryQuestion; sink: CarrySink }>,
): CarryCall => {
  let isOver = false;
  const finish = (detail: string | undefined) => {
    if (isOver) return;
    isOver = true;
    sink.onEnd(detail);
  };
  const stream: ClientReadableStream<CarryFrame> = client.makeServerStreamRequest(
    carry.path,
    carry.requestSerialize,
    carry.responseDeserialize,
    question,
  );
  stream.on("data", (frame: CarryFrame) => {
    if (!isOver) sink.onFrame(frame);
  });
  stream.on("error", (error: ServiceError) => {
    // A box of an earlier release carries nothing.
    if (!isOver && error.code === status.UNIMPLEMENTED)
      sink.onFrame({ kind: "refused", reason: "not_supported" });
    else finish(error.details);
  });
  stream.on("end", () => finish(undefined));
  return {
    cancel: () => {
      isOver = true;
      stream.cancel();
    },
    pause: () => void stream.pause(),
    resume: () => void stream.resume(),
  };
};

/** What a carrier sends back. */
export type CarryAnswer = Readonly<{
  /** Returns false if the asking box reads more slowly than frames are written. */
  write: (frame: CarryFrame) => boolean;
  end: () => void;
}>;

/** What a carrier does when the asking box acts. */
export type CarriedHandlers = Readonly<{
  onCancelled: () => void;
  /** The asking box reads again. */
  onDrain: () => void;
}>;

/** Carries the request of another box. */
export type AnswerCarry = (
  question: CarryQuestion,
  answer: CarryAnswer,
) => CarriedHandlers;

/** Creates the handler of such calls. */
export const createCarryHandler =
  (answerCarry: AnswerCarry) =>
  (call: ServerWritableStream<CarryQuestion, CarryFrame>): void => {
    const handlers = answerCarry(call.request, {
      write: (frame) => call.write(frame),
      end: () => call.end(),
    });
    call.on("cancelled", handlers.onCancelled);
    call.on("error", handlers.onCancelled);
    call.on("drain", handlers.onDrain);
  };
