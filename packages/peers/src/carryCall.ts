/** Sends a request by way of another box, and serves such calls. */
import {
  status,
  type Client,
  type ClientReadableStream,
  type ServerWritableStream,
  type ServiceError,
} from "@grpc/grpc-js";
import { assertNever } from "@stairgauge/common";
import type {
  AnswerCarry,
  CarriedHandlers,
  CarryAnswer,
  CarryCall,
  CarryFrame,
  CarryQuestion,
  CarrySink,
} from "@stairgauge/paths";
import type { PeerService } from "./service.js";

/** Whether nothing of the call follows but its own end. */
const isLast = (frame: CarryFrame): boolean => {
  switch (frame.kind) {
    case "connected":
    case "head":
    case "data":
      return false;
    case "refused":
    case "unreached":
    case "ended":
    case "failed":
      return true;
    default:
      return assertNever(frame);
  }
};

/** Asks the box behind the client to carry the request. */
export const callCarry = (
  client: Client,
  { carry }: Pick<PeerService, "carry">,
  { question, sink }: Readonly<{ question: CarryQuestion; sink: CarrySink }>,
): CarryCall => {
  let isOver = false;
  let isComplete = false;
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
    isComplete ||= isLast(frame);
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
      // A reset would add nothing, and the carrier's library ends a connection with many of them.
      if (isComplete) stream.resume();
      else stream.cancel();
    },
    pause: () => void stream.pause(),
    resume: () => void stream.resume(),
  };
};

/**
 * Bytes of an answer that may wait to be sent to the asking box. The stream itself counts frames, and sixteen of them
 * may be a megabyte.
 */
const MAX_WAITING_BYTES = 128 * 1024;

const countBytes = (frame: CarryFrame): number =>
  frame.kind === "data" ? frame.bytes.length : 0;

/** Creates the handler of such calls. */
export const createCarryHandler =
  (answerCarry: AnswerCarry) =>
  (call: ServerWritableStream<CarryQuestion, CarryFrame>): void => {
    let waiting = 0;
    let isFull = false;
    let handlers: CarriedHandlers | undefined;
    const handleSent = (bytes: number) => {
      waiting -= bytes;
      if (!isFull || waiting > MAX_WAITING_BYTES) return;
      isFull = false;
      handlers?.onDrain();
    };
    const answer: CarryAnswer = {
      write: (frame) => {
        const bytes = countBytes(frame);
        waiting += bytes;
        isFull = waiting > MAX_WAITING_BYTES;
        call.write(frame, () => handleSent(bytes));
        return !isFull;
      },
      end: () => call.end(),
    };
    try {
      handlers = answerCarry(call.request, answer);
    } catch (error) {
      // The asking box takes the request for one that may have run.
      call.emit("error", { code: status.INTERNAL, details: String(error) });
      return;
    }
    call.on("cancelled", handlers.onCancelled);
    call.on("error", handlers.onCancelled);
  };
