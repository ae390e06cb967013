/**
 * The gRPC calls between boxes: a stream of updates, on which a hub sends notices back, a stream of table questions, unary
 * questions, and a stream of frames for each request that another box carries.
 */
import type { ServiceDefinition } from "@grpc/grpc-js";
import type { OriginAnswer, OriginQuestion } from "@stairgauge/origins";
import type { CarryFrame, CarryQuestion } from "@stairgauge/paths";
import {
  decodeMovesAnswer,
  decodeMovesQuestion,
  decodePlaceAnswer,
  decodePlaceQuestion,
  encodeMovesAnswer,
  encodeMovesQuestion,
  encodePlaceAnswer,
  encodePlaceQuestion,
} from "./adviceCodec.js";
import {
  decodeCarryFrame,
  decodeCarryQuestion,
  encodeCarryFrame,
  encodeCarryQuestion,
} from "./carryCodec.js";
import type { ReportOddPart } from "./decodeParts.js";
import {
  decodeOriginAnswer,
  decodeOriginQuestion,
  encodeOriginAnswer,
  encodeOriginQuestion,
} from "./originCodec.js";
import {
  decodeAnswer,
  decodeQuestion,
  encodeAnswer,
  encodeQuestion,
} from "./tableCodec.js";
import {
  decodeTableCall,
  decodeTableReply,
  encodeTableCall,
  encodeTableReply,
  type TableCall,
  type TableReply,
} from "./tableStreamCodec.js";
import type {
  HubNotice,
  MovesAnswer,
  MovesQuestion,
  PlaceAnswer,
  PlaceQuestion,
  RunUpdate,
  TableAnswer,
  TableQuestion,
} from "./types.js";
import { decodeNotice, decodeUpdate, encodeNotice, encodeUpdate } from "./updateCodec.js";

/** A message between boxes, with its size on the wire. */
export type PeerMessage = Readonly<{
  call: "tell_runs" | "ask_table" | "ask_place" | "ask_moves" | "ask_origin" | "carry";
  direction: "sent" | "received";
  bytes: number;
}>;

/** A part of a message that can't be read and was left out. */
export type OddPart = Readonly<{ call: PeerMessage["call"]; field: string }>;

type Method<Question, Answer> = Readonly<{
  path: string;
  requestStream: boolean;
  responseStream: boolean;
  requestSerialize: (question: Question) => Buffer;
  requestDeserialize: (bytes: Buffer) => Question;
  responseSerialize: (answer: Answer) => Buffer;
  responseDeserialize: (bytes: Buffer) => Answer;
}>;

/** A method whose messages may have parts that can't be read. */
type MethodOfParts<Question, Answer> = Omit<
  Method<Question, Answer>,
  "requestDeserialize" | "responseDeserialize"
> &
  Readonly<{
    requestDeserialize: (bytes: Buffer, onOddPart: ReportOddPart) => Question;
    responseDeserialize: (bytes: Buffer, onOddPart: ReportOddPart) => Answer;
  }>;

const DEFINITION = {
  reportRuns: {
    path: "/stairgauge.Peers/TellRuns",
    requestStream: true,
    responseStream: true,
    requestSerialize: (update: RunUpdate) => encodeUpdate(update),
    requestDeserialize: (bytes: Buffer, onOddPart?: ReportOddPart) =>
      decodeUpdate(bytes, onOddPart),
    responseSerialize: (notice: HubNotice) => encodeNotice(notice),
    responseDeserialize: (bytes: Buffer, onOddPart?: ReportOddPart) =>
      decodeNotice(bytes, onOddPart),
  },
  askTable: {
    path: "/stairgauge.Peers/AskTable",
    requestStream: false,
    responseStream: false,
    requestSerialize: (question: TableQuestion) => encodeQuestion(question),
    requestDeserialize: (bytes: Buffer) => decodeQuestion(bytes),
    responseSerialize: (answer: TableAnswer) => encodeAnswer(answer),
    responseDeserialize: (bytes: Buffer, onOddPart?: ReportOddPart) =>
      decodeAnswer(bytes, onOddPart),
  },
  exchangeTables: {
    path: "/stairgauge.Peers/ExchangeTables",
    requestStream: true,
    responseStream: true,
    requestSerialize: (call: TableCall) => encodeTableCall(call),
    requestDeserialize: (bytes: Buffer) => decodeTableCall(bytes),
    responseSerialize: (reply: TableReply) => encodeTableReply(reply),
    responseDeserialize: (bytes: Buffer, onOddPart?: ReportOddPart) =>
      decodeTableReply(bytes, onOddPart),
  },
  askPlace: {
    path: "/stairgauge.Peers/AskPlace",
    requestStream: false,
    responseStream: false,
    requestSerialize: (question: PlaceQuestion) => encodePlaceQuestion(question),
    requestDeserialize: (bytes: Buffer) => decodePlaceQuestion(bytes),
    responseSerialize: (answer: PlaceAnswer) => encodePlaceAnswer(answer),
    responseDeserialize: (bytes: Buffer) => decodePlaceAnswer(bytes),
  },
  askMoves: {
    path: "/stairgauge.Peers/AskMoves",
    requestStream: false,
    responseStream: false,
    requestSerialize: (question: MovesQuestion) => encodeMovesQuestion(question),
    requestDeserialize: (bytes: Buffer) => decodeMovesQuestion(bytes),
    responseSerialize: (answer: MovesAnswer) => encodeMovesAnswer(answer),
    responseDeserialize: (bytes: Buffer) => decodeMovesAnswer(bytes),
  },
  askOrigin: {
    path: "/stairgauge.Peers/AskOrigin",
    requestStream: false,
    responseStream: false,
    requestSerialize: (question: OriginQuestion) => encodeOriginQuestion(question),
    requestDeserialize: (bytes: Buffer) => decodeOriginQuestion(bytes),
    responseSerialize: (answer: OriginAnswer) => encodeOriginAnswer(answer),
    responseDeserialize: (bytes: Buffer) => decodeOriginAnswer(bytes),
  },
  carry: {
    path: "/stairgauge.Peers/Carry",
    requestStream: false,
    responseStream: true,
    requestSerialize: (question: CarryQuestion) => encodeCarryQuestion(question),
    requestDeserialize: (bytes: Buffer) => decodeCarryQuestion(bytes),
    responseSerialize: (frame: CarryFrame) => encodeCarryFrame(frame),
    responseDeserialize: (bytes: Buffer) => decodeCarryFrame(bytes),
  },
} as const satisfies ServiceDefinition;

/** Creates the service definition for clients and servers; `onMessage` is called for each message, `onOddPart` for each part left out. */
export const createPeerService = (
  onMessage: (message: PeerMessage) => void,
  onOddPart: (part: OddPart) => void = () => undefined,
) => {
  const observeSent =
    <T>(call: PeerMessage["call"], serialize: (value: T) => Buffer) =>
    (value: T): Buffer => {
      const bytes = serialize(value);
      onMessage({ call, direction: "sent", bytes: bytes.length });
      return bytes;
    };
  const observeReceived =
    <T>(
      call: PeerMessage["call"],
      deserialize: (bytes: Buffer, onOddPart: ReportOddPart) => T,
    ) =>
    (bytes: Buffer): T => {
      onMessage({ call, direction: "received", bytes: bytes.length });
      return deserialize(bytes, (field) => onOddPart({ call, field }));
    };
  const observe = <Question, Answer>(
    call: PeerMessage["call"],
    method: MethodOfParts<Question, Answer>,
  ): Method<Question, Answer> => ({
    ...method,
    requestSerialize: observeSent(call, method.requestSerialize),
    requestDeserialize: observeReceived(call, method.requestDeserialize),
    responseSerialize: observeSent(call, method.responseSerialize),
    responseDeserialize: observeReceived(call, method.responseDeserialize),
  });
  return {
    reportRuns: observe("tell_runs", DEFINITION.reportRuns),
    askTable: observe("ask_table", DEFINITION.askTable),
    exchangeTables: observe("ask_table", DEFINITION.exchangeTables),
    askPlace: observe("ask_place", DEFINITION.askPlace),
    askMoves: observe("ask_moves", DEFINITION.askMoves),
    askOrigin: observe("ask_origin", DEFINITION.askOrigin),
    carry: observe("carry", DEFINITION.carry),
  };
};

/** The service definition. */
export type PeerService = ReturnType<typeof createPeerService>;
