/** The calls between boxes: a stream of updates, by which a hub sends notices back, and questions that are answered once. */
import type { ServiceDefinition } from "@grpc/grpc-js";
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
  decodeAnswer,
  decodeQuestion,
  encodeAnswer,
  encodeQuestion,
} from "./tableCodec.js";
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

/** The calls' definition, shared by both ends. */
export const peerService = {
  tellRuns: {
    path: "/stairgauge.Peers/TellRuns",
    requestStream: true,
    responseStream: true,
    requestSerialize: (update: RunUpdate) => encodeUpdate(update),
    requestDeserialize: (bytes: Buffer) => decodeUpdate(bytes),
    responseSerialize: (notice: HubNotice) => encodeNotice(notice),
    responseDeserialize: (bytes: Buffer) => decodeNotice(bytes),
  },
  askTable: {
    path: "/stairgauge.Peers/AskTable",
    requestStream: false,
    responseStream: false,
    requestSerialize: (question: TableQuestion) => encodeQuestion(question),
    requestDeserialize: (bytes: Buffer) => decodeQuestion(bytes),
    responseSerialize: (answer: TableAnswer) => encodeAnswer(answer),
    responseDeserialize: (bytes: Buffer) => decodeAnswer(bytes),
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
} as const satisfies ServiceDefinition;
