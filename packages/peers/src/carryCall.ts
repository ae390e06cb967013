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
import { createPieceBuffer } from "./pieceBuffer.js";
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

/** What a frame costs beside its bytes until it is sent. */
const FRAME_COST_BYTES = 512;

/** Bytes that are sent in a frame of their own, although others are on their way. */
const LONG_DATA_BYTES = 4 * 1024;

const countBytes = (frame: CarryFrame): number =>
  FRAME_COST_BYTES + (frame.kind === "data" ? frame.bytes.length : 0);

/**
 * Sends frames. Short data that comes while others are on their way waits and goes on in one frame, so that many small pieces
 * cost neither box more than their bytes.
 */
const createFrameSender = (
  call: ServerWritableStream<CarryQuestion, CarryFrame>,
  onSent: () => void,
) => {
  const joined = createPieceBuffer();
  let unsentFrames = 0;
  let unsentBytes = 0;

  const send = (frame: CarryFrame) => {
    const bytes = countBytes(frame);
    unsentFrames += 1;
    unsentBytes += bytes;
    call.write(frame, () => {
      unsentFrames -= 1;
      unsentBytes -= bytes;
      if (unsentFrames === 0) flush();
      onSent();
    });
  };
  const flush = () => {
    if (!joined.isEmpty()) send({ kind: "data", bytes: joined.take() });
  };
  return {
    write: (frame: CarryFrame) => {
      const isShort = frame.kind === "data" && frame.bytes.length < LONG_DATA_BYTES;
      if (isShort && unsentFrames > 0) {
        joined.append(frame.bytes);
        return;
      }
      flush();
      send(frame);
    },
    flush,
    isFull: () => unsentBytes + joined.getCost() > MAX_WAITING_BYTES,
  };
};

/** Creates the handler of such calls. */
export const createCarryHandler =
  (answerCarry: AnswerCarry) =>
  (call: ServerWritableStream<CarryQuestion, CarryFrame>): void => {
    let isPaused = false;
    let handlers: CarriedHandlers | undefined;
    const sender = createFrameSender(call, () => {
      if (!isPaused || sender.isFull()) return;
      isPaused = false;
      handlers?.onDrain();
    });
    const answer: CarryAnswer = {
      write: (frame) => {
        sender.write(frame);
        isPaused = sender.isFull();
        return !isPaused;
      },
      end: () => {
        sender.flush();
        call.end();
      },
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
